package org.mangoridge.standin.engine;

import java.time.Duration;

/**
 * What an engine can do.
 *
 * @param role prefill, decode or both
 * @param model the model loaded
 * @param version its version
 * @param slots how many requests decode at once
 * @param pieces how many memory pieces there are
 * @param pieceTokens the tokens that a piece holds
 * @param prefillTokensPerSecond the prefill rate
 * @param kvBytesPerToken the size of KV cache a token
 * @param linkBytesPerSecond the rate at which KV cache is fetched
 * @param tokenInterval the time between tokens of one stream
 * @param prefillResultTtl how long an unused prefill result is kept
 */
public record EngineProfile(
        String role,
        String model,
        String version,
        int slots,
        int pieces,
        int pieceTokens,
        long prefillTokensPerSecond,
        long kvBytesPerToken,
        long linkBytesPerSecond,
        Duration tokenInterval,
        Duration prefillResultTtl) {

    private static final int SLOTS = 20;
    private static final int PIECES = 160;
    private static final int PIECE_TOKENS = 2048;
    private static final long PREFILL_TOKENS_PER_SECOND = 20_000;
    private static final long KV_BYTES_PER_TOKEN = 100_000;
    private static final long LINK_BYTES_PER_SECOND = 10_000_000_000L;
    private static final Duration TOKEN_INTERVAL = Duration.ofMillis(25);
    private static final Duration PREFILL_RESULT_TTL = Duration.ofMillis(900);

    /** Returns an engine of the sizes that the brief names. */
    public static EngineProfile of(String role, String model, String version) {
        return new EngineProfile(
                role,
                model,
                version,
                SLOTS,
                PIECES,
                PIECE_TOKENS,
                PREFILL_TOKENS_PER_SECOND,
                KV_BYTES_PER_TOKEN,
                LINK_BYTES_PER_SECOND,
                TOKEN_INTERVAL,
                PREFILL_RESULT_TTL);
    }

    /** Returns how many pieces hold {@code tokens}. */
    public int piecesFor(int tokens) {
        return Math.max(1, (tokens + pieceTokens - 1) / pieceTokens);
    }
}
