package org.mangoridge.core.time;

import java.time.Duration;
import java.time.Instant;

import org.mangoridge.core.Checks;

/** A clock that advances only on request, for simulations and tests; safe for use by several threads. */
public final class VirtualClock implements Clock {

    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private volatile Duration elapsed = Duration.ZERO;
    private volatile Duration suspended = Duration.ZERO;

    private VirtualClock() {}

    /** Returns a clock whose elapsed time is zero. */
    public static VirtualClock create() {
        return new VirtualClock();
    }

    /**
     * Moves the clock forward.
     *
     * @throws IllegalArgumentException if {@code step} is negative
     */
    public synchronized void advance(Duration step) {
        Checks.argument(!step.isNegative(), "clock must not go back: %s", step);
        elapsed = elapsed.plus(step);
    }

    /** Moves the time of day forward without the monotonic time, as when a machine is suspended. */
    public synchronized void suspend(Duration step) {
        Checks.argument(!step.isNegative(), "clock must not go back: %s", step);
        suspended = suspended.plus(step);
    }

    @Override
    public Instant now() {
        return ORIGIN.plus(elapsed).plus(suspended);
    }

    @Override
    public Duration elapsed() {
        return elapsed;
    }
}
