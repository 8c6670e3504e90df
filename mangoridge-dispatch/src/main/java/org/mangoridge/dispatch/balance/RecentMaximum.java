package org.mangoridge.dispatch.balance;

import java.time.Duration;

/** The largest of the durations that were recorded in the last one to two windows; not thread-safe. */
final class RecentMaximum {

    private final Duration window;
    private Duration windowStart;
    private Duration current = Duration.ZERO;
    private Duration previous = Duration.ZERO;

    RecentMaximum(Duration window, Duration now) {
        this.window = window;
        this.windowStart = now;
    }

    void record(Duration value, Duration now) {
        advance(now);
        if (value.compareTo(current) > 0) {
            current = value;
        }
    }

    /** Returns the largest duration; zero if none was recorded lately. */
    Duration value(Duration now) {
        advance(now);
        return current.compareTo(previous) >= 0 ? current : previous;
    }

    /** Returns what {@link #value} would return, and begins no window. */
    Duration preview(Duration now) {
        Duration elapsed = now.minus(windowStart);
        if (elapsed.compareTo(window) >= 0) {
            return elapsed.compareTo(window.multipliedBy(2)) < 0 ? current : Duration.ZERO;
        }
        return current.compareTo(previous) >= 0 ? current : previous;
    }

    private void advance(Duration now) {
        Duration elapsed = now.minus(windowStart);
        if (elapsed.compareTo(window) < 0) {
            return;
        }
        previous = elapsed.compareTo(window.multipliedBy(2)) < 0 ? current : Duration.ZERO;
        current = Duration.ZERO;
        windowStart = now;
    }
}
