package org.mangoridge.standin.engine;

import java.time.Duration;

/**
 * How fast an engine works and how late it tells of it.
 *
 * @param prefillTokensPerSecond the prefill rate
 * @param kvBytesPerToken the size of KV cache a token
 * @param linkBytesPerSecond the rate at which KV cache is fetched
 * @param baseTokenInterval the time between tokens of a stream in an empty batch
 * @param tokenIntervalPerStream what each stream of the batch adds to that time
 * @param prefillSlowdown the factor on that time while the engine prefills
 * @param prefillResultTtl how long an unused prefill result is kept
 * @param loadReportLag how old a load report is at least
 * @param cacheEventLag how late a cache event is published
 * @param cacheEventGap every event whose number this divides is never published
 * @param modelLoadTime the time that a model takes from the weight store
 */
public record EngineRates(
        long prefillTokensPerSecond,
        long kvBytesPerToken,
        long linkBytesPerSecond,
        Duration baseTokenInterval,
        Duration tokenIntervalPerStream,
        double prefillSlowdown,
        Duration prefillResultTtl,
        Duration loadReportLag,
        Duration cacheEventLag,
        int cacheEventGap,
        Duration modelLoadTime) {

    private static final long PREFILL_TOKENS_PER_SECOND = 30_000;
    private static final long KV_BYTES_PER_TOKEN = 100_000;
    private static final long LINK_BYTES_PER_SECOND = 8_000_000_000L;
    private static final Duration BASE_TOKEN_INTERVAL = Duration.ofMillis(20);
    private static final Duration TOKEN_INTERVAL_PER_STREAM = Duration.ofNanos(700_000);
    private static final double PREFILL_SLOWDOWN = 1.4;
    private static final Duration PREFILL_RESULT_TTL = Duration.ofMillis(900);
    private static final Duration LOAD_REPORT_LAG = Duration.ofMillis(100);
    private static final Duration CACHE_EVENT_LAG = Duration.ofMillis(500);
    private static final int CACHE_EVENT_GAP = 50;
    private static final long MODEL_BYTES = 16_000_000_000L;
    private static final long WEIGHT_STORE_BYTES_PER_SECOND = 8_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the rates of an engine as the brief describes it. */
    public static EngineRates standard() {
        return new EngineRates(
                PREFILL_TOKENS_PER_SECOND,
                KV_BYTES_PER_TOKEN,
                LINK_BYTES_PER_SECOND,
                BASE_TOKEN_INTERVAL,
                TOKEN_INTERVAL_PER_STREAM,
                PREFILL_SLOWDOWN,
                PREFILL_RESULT_TTL,
                LOAD_REPORT_LAG,
                CACHE_EVENT_LAG,
                CACHE_EVENT_GAP,
                duration(MODEL_BYTES, WEIGHT_STORE_BYTES_PER_SECOND));
    }

    /** Returns the time between tokens of each of {@code streams} streams that decode together. */
    public Duration tokenInterval(int streams, boolean prefillBeside) {
        Duration alone = baseTokenInterval.plus(tokenIntervalPerStream.multipliedBy(streams));
        return prefillBeside ? scaled(alone, prefillSlowdown) : alone;
    }

    /** Returns the time that the prefill of {@code tokens} uncached tokens takes. */
    public Duration prefillTime(int tokens) {
        return duration(tokens, prefillTokensPerSecond);
    }

    /** Returns the time that the KV cache of {@code tokens} tokens takes on the link. */
    public Duration transferTime(int tokens) {
        return duration(tokens * kvBytesPerToken, linkBytesPerSecond);
    }

    static Duration scaled(Duration duration, double factor) {
        return Duration.ofNanos(Math.round(duration.toNanos() * factor));
    }

    private static Duration duration(long amount, long perSecond) {
        return Duration.ofNanos(Math.round(amount * NANOS_PER_SECOND / perSecond));
    }
}
