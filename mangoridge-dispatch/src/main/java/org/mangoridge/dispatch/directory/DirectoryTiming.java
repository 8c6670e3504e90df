package org.mangoridge.dispatch.directory;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The times that decide how long a server is used whose entry is missing from the store.
 *
 * @param catchUpTime the time after the store has become reachable in which servers that left must be out of use
 * @param drainNotice the time after the removal of its entry in which a server must be out of use
 * @param reportInterval the interval at which a live server writes its entry
 */
public record DirectoryTiming(Duration catchUpTime, Duration drainNotice, Duration reportInterval) {

    /**
     * Reports that a live server must miss in an outage before its entry expires. The store removes it after three, but
     * the last one before the outage may have been due when it began.
     */
    private static final double MISSED_REPORTS = 1.5;

    public DirectoryTiming {
        Checks.argument(catchUpTime.isPositive(), "catch-up time must be positive: %s", catchUpTime);
        Checks.argument(drainNotice.isPositive(), "drain notice must be positive: %s", drainNotice);
        Checks.argument(reportInterval.isPositive(), "report interval must be positive: %s", reportInterval);
    }

    /** Returns the shortest outage of the store in which the entry of a live server may expire. */
    Duration shortestExpiringOutage() {
        return Duration.ofNanos((long) (reportInterval.toNanos() * MISSED_REPORTS));
    }
}
