package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Says when callers of model requests that were refused come back; used by one thread.
 *
 * <p>Refused callers that return together meet the same queue that they were refused from. The larger the share that is
 * refused, the longer the time over which returns are spread: a burst lasts some seconds, and what came in it has to be
 * worked off before there is room again.
 */
public final class RetryAfterPolicy {

    /** A server has room again after a part of a stream's time. */
    private static final Duration LEAST = Duration.ofMillis(400);
    /** The spread while hardly anything is refused. */
    private static final Duration NARROW = Duration.ofMillis(1200);
    /** The spread while everything is refused; bursts last four to five seconds (letter 2's sites). */
    private static final Duration WIDE = Duration.ofSeconds(5);
    /** Half-life of what was refused and served. */
    private static final double HALF_LIFE_SECONDS = 2;
    /** The part of the time left to its caller that a request may spend away. */
    private static final double LEFT_PART = 0.5;

    private double refused;
    private double served;
    private Duration updated = Duration.ZERO;

    private RetryAfterPolicy() {}

    /** Returns one that has seen nothing. */
    public static RetryAfterPolicy create() {
        return new RetryAfterPolicy();
    }

    /** Takes note that a request was served. */
    public void recordServed(Duration now) {
        fade(now);
        served++;
    }

    /**
     * Takes note that a request is refused; returns how long its caller should stay away.
     *
     * @param left the time that its caller still has
     */
    public Duration recordRefused(Duration left, RandomGenerator random, Duration now) {
        fade(now);
        refused++;
        double share = refused / (refused + served);
        double spread = NARROW.toMillis() + share * WIDE.minus(NARROW).toMillis();
        double away = LEAST.toMillis() + random.nextDouble() * spread;
        double most = Math.max(LEAST.toMillis(), left.toMillis() * LEFT_PART);
        return Duration.ofMillis((long) Math.min(away, most));
    }

    private void fade(Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        double kept = Math.pow(0.5, Math.max(0, seconds) / HALF_LIFE_SECONDS);
        refused *= kept;
        served *= kept;
        updated = now;
    }
}
