package org.mangoridge.http;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides when a connection pool is replaced by a new one. Not thread-safe.
 *
 * <p>A pool is replaced at a maximum age, and early if a call on one of its connections timed out: whatever broke this
 * connection without closing it may have broken the others too, and each of them would make another call fail.
 */
final class RenewalSchedule {

    private static final double AGE_JITTER_RATIO = 0.2;

    private final Duration maxAge;
    private final Duration minAge;
    private final RandomGenerator random;
    private Duration createdAt;
    private Duration renewAt;

    /**
     * Creates a schedule for a pool that is created at {@code now}.
     *
     * @param maxAge the age at which a pool is replaced, with a jitter of 20 percent in both directions
     * @param minAge the age before which a pool is not replaced because of a timeout
     */
    RenewalSchedule(Duration maxAge, Duration minAge, RandomGenerator random, Duration now) {
        this.maxAge = maxAge;
        this.minAge = minAge;
        this.random = random;
        recordRenewal(now);
    }

    /** Tells whether the pool should be replaced at {@code now}. */
    boolean isDue(Duration now) {
        return now.compareTo(renewAt) >= 0;
    }

    /** Records that a call started at {@code callStart} timed out; ignored if an earlier pool served the call. */
    void recordTimeout(Duration callStart) {
        Duration earliest = createdAt.plus(minAge);
        if (callStart.compareTo(createdAt) >= 0 && earliest.compareTo(renewAt) < 0) {
            renewAt = earliest;
        }
    }

    /** Records that a new pool was created at {@code now}. */
    void recordRenewal(Duration now) {
        createdAt = now;
        double jitter = 1 + AGE_JITTER_RATIO * (2 * random.nextDouble() - 1);
        renewAt = now.plusNanos((long) (maxAge.toNanos() * jitter));
    }
}
