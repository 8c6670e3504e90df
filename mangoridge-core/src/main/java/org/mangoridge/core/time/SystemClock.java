package org.mangoridge.core.time;

import java.time.Duration;
import java.time.Instant;

/** The machine's clock. */
public final class SystemClock implements Clock {

    private static final SystemClock INSTANCE = new SystemClock();

    private SystemClock() {}

    /** Returns the clock of this machine. */
    public static SystemClock instance() {
        return INSTANCE;
    }

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public Duration elapsed() {
        return Duration.ofNanos(System.nanoTime());
    }
}
