package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Determines the Retry-After delay of refused model requests; confined to one thread.
 *
 * <p>Delays have jitter: callers that retry at the same time would meet the queue that they were refused from. The
 * jitter grows with the share of refused requests, since a burst lasts some seconds and its backlog must be processed
 * before capacity is free again.
 */
public final class RetryAfterPolicy {

    /** Minimum delay; some stream of a server ends within a fraction of a stream's duration. */
    private static final Duration MIN_DELAY = Duration.ofMillis(400);
    /** Range of the jitter at a refused share near 0. */
    private static final Duration MIN_JITTER = Duration.ofMillis(1200);
    /** Range of the jitter at a refused share of 1; bursts last four to five seconds. */
    private static final Duration MAX_JITTER = Duration.ofSeconds(5);
    /** Half-life of the counts of refused and served requests. */
    private static final double HALF_LIFE_SECONDS = 2;
    /** Maximum delay as a fraction of the caller's remaining time. */
    private static final double MAX_REMAINING_FRACTION = 0.5;

    private double refused;
    private double served;
    private Duration updated = Duration.ZERO;

    private RetryAfterPolicy() {}

    /** Creates a policy without any recorded request. */
    public static RetryAfterPolicy create() {
        return new RetryAfterPolicy();
    }

    /** Records that a request was served. */
    public void recordServed(Duration now) {
        decay(now);
        served++;
    }

    /**
     * Records that a request is refused and returns the delay after which its caller should retry.
     *
     * @param remaining the time until the caller's deadline
     */
    public Duration recordRefused(Duration remaining, RandomGenerator random, Duration now) {
        decay(now);
        refused++;
        double share = refused / (refused + served);
        double jitterMillis =
                MIN_JITTER.toMillis() + share * MAX_JITTER.minus(MIN_JITTER).toMillis();
        double delayMillis = MIN_DELAY.toMillis() + random.nextDouble() * jitterMillis;
        double maxDelayMillis = Math.max(MIN_DELAY.toMillis(), remaining.toMillis() * MAX_REMAINING_FRACTION);
        return Duration.ofMillis((long) Math.min(delayMillis, maxDelayMillis));
    }

    private void decay(Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        double factor = Math.pow(0.5, Math.max(0, seconds) / HALF_LIFE_SECONDS);
        refused *= factor;
        served *= factor;
        updated = now;
    }
}
