package org.mangoridge.objects.budget;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Checks;

/**
 * Spaces retries further apart with each failure, with jitter so that many instances do not retry together.
 *
 * <p>Not safe for use by several threads.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final Duration first;
    private final Duration longest;
    private final RandomGenerator random;
    private int failures;

    private Backoff(Duration first, Duration longest, RandomGenerator random) {
        this.first = first;
        this.longest = longest;
        this.random = random;
    }

    /** Returns a backoff whose pauses grow from about {@code first} to at most {@code longest}. */
    public static Backoff create(Duration first, Duration longest, RandomGenerator random) {
        Checks.argument(first.isPositive() && first.compareTo(longest) <= 0, "pauses must grow: %s %s", first, longest);
        return new Backoff(first, longest, random);
    }

    /** Notes a failure and returns the pause before the next try, between half and the whole of the nominal one. */
    public Duration nextDelay() {
        Duration nominal = first.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        long nanos = Math.min(nominal.toNanos(), longest.toNanos());
        return Duration.ofNanos((long) (nanos * (1 + random.nextDouble()) / 2));
    }

    /** Notes a success. */
    public void reset() {
        failures = 0;
    }

    /** Tells whether the last try failed. */
    public boolean isFailing() {
        return failures > 0;
    }
}
