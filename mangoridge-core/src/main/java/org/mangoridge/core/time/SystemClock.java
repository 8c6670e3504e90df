package org.mangoridge.core.time;

import java.time.Duration;
import java.time.Instant;

/** The system clock. */
public final class SystemClock implements Clock {

    private static final SystemClock INSTANCE = new SystemClock();

    private SystemClock() {}

    /** Returns the system clock. */
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
