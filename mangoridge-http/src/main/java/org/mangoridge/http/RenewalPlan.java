package org.mangoridge.http;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides when a pool of connections is given up for a new one; a state machine used under a lock.
 *
 * <p>A pool is renewed by age, and soon after one of its connections went silent: whatever lost track of that one may
 * have lost the others too, and each would else fail a call of its own.
 */
final class RenewalPlan {

    private static final double AGE_JITTER = 0.2;

    private final Duration maxAge;
    private final Duration shortestAge;
    private final RandomGenerator random;
    private Duration born;
    private Duration retireAt;

    /**
     * Creates a plan for a pool that begins at {@code now}.
     *
     * @param maxAge the age at which a pool is renewed, give or take a fifth
     * @param shortestAge a pool is not renewed sooner for silence
     */
    RenewalPlan(Duration maxAge, Duration shortestAge, RandomGenerator random, Duration now) {
        this.maxAge = maxAge;
        this.shortestAge = shortestAge;
        this.random = random;
        renewed(now);
    }

    /** Tells whether the pool should be renewed now. */
    boolean isDue(Duration now) {
        return now.compareTo(retireAt) >= 0;
    }

    /** Notes a call that began at {@code began} and brought nothing in its time. */
    void silent(Duration began) {
        Duration soonest = born.plus(shortestAge);
        if (began.compareTo(born) >= 0 && soonest.compareTo(retireAt) < 0) {
            retireAt = soonest;
        }
    }

    /** Notes that a new pool took the place of the former. */
    void renewed(Duration now) {
        born = now;
        double jitter = 1 + AGE_JITTER * (2 * random.nextDouble() - 1);
        retireAt = now.plusNanos((long) (maxAge.toNanos() * jitter));
    }
}
