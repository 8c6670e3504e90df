package org.mangoridge.core.time;

import java.time.Duration;
import java.time.Instant;

/** Tells the time; implementations are safe for use by several threads. */
public interface Clock {

    /** Returns the time of day, which may jump in either direction. */
    Instant now();

    /** Returns the time since an arbitrary origin, which never goes back. */
    Duration elapsed();
}
