package org.mangoridge.core.time;

import java.time.Duration;
import java.time.Instant;

/** A source of time; implementations are safe for use by several threads. */
public interface Clock {

    /** Returns the wall-clock time, which may jump in either direction. */
    Instant now();

    /** Returns the monotonic time since an arbitrary origin. */
    Duration elapsed();
}
