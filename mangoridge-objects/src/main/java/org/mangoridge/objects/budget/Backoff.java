package org.mangoridge.objects.budget;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Checks;

/**
 * Exponential backoff with jitter, so that many instances do not retry at the same time.
 *
 * <p>Not thread-safe.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final Duration minDelay;
    private final Duration maxDelay;
    private final RandomGenerator random;
    private int failures;

    private Backoff(Duration minDelay, Duration maxDelay, RandomGenerator random) {
        this.minDelay = minDelay;
        this.maxDelay = maxDelay;
        this.random = random;
    }

    /** Creates a backoff whose delays double from {@code minDelay} up to {@code maxDelay}, before jitter. */
    public static Backoff create(Duration minDelay, Duration maxDelay, RandomGenerator random) {
        Checks.argument(
                minDelay.isPositive() && minDelay.compareTo(maxDelay) <= 0,
                "delays must be positive and must not decrease: %s, %s",
                minDelay,
                maxDelay);
        return new Backoff(minDelay, maxDelay, random);
    }

    /** Records a failure and returns the delay before the next attempt: between half and all of the nominal delay. */
    public Duration nextDelay() {
        Duration nominal = minDelay.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        long nanos = Math.min(nominal.toNanos(), maxDelay.toNanos());
        return Duration.ofNanos((long) (nanos * (1 + random.nextDouble()) / 2));
    }

    /** Records a success: the next delay starts at the minimum again. */
    public void reset() {
        failures = 0;
    }

    /** Returns whether the last attempt failed. */
    public boolean isFailing() {
        return failures > 0;
    }
}
