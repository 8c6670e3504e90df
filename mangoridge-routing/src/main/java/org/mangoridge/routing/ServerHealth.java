package org.mangoridge.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Whether a server may get new work, from failed attempts and missed reports. */
final class ServerHealth {

    private static final int FAILURES_TO_EJECT = 3;
    private static final int MISSED_REPORTS_TO_EJECT = 3;
    private static final long SILENCE_NANOS = Duration.ofMillis(1500).toNanos();
    private static final long SHORTEST_EJECTION_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_DOUBLINGS = 5;
    private static final double JITTER = 0.25;
    private static final long SLOW_START_NANOS = Duration.ofSeconds(5).toNanos();
    private static final double SLOW_START_LEAST = 0.2;

    private final RandomGenerator random;
    private int failures;
    private int missedReports;
    private int ejections;
    private long ejectedUntilNanos = Long.MIN_VALUE;
    private long returnedNanos = Long.MIN_VALUE;
    private long reportedNanos = Long.MIN_VALUE;
    private boolean leaving;
    private boolean wasSilent;

    ServerHealth(RandomGenerator random) {
        this.random = random;
    }

    /** Notes that an attempt came to a good end here. */
    void recordSuccess() {
        failures = 0;
        ejections = 0;
    }

    /** Notes that an attempt failed because of the server. */
    void recordFailure(boolean unreachable, long nowNanos) {
        failures += unreachable ? 2 : 1;
        if (failures >= FAILURES_TO_EJECT) {
            eject(nowNanos);
        }
    }

    /** Notes that a transfer brought no end: one is enough, since each costs a prefill. */
    void recordStall(long nowNanos) {
        eject(nowNanos);
    }

    /** Notes a report. */
    void recordReport(long nowNanos) {
        reportedNanos = nowNanos;
        missedReports = 0;
        if (wasSilent) {
            wasSilent = false;
            leaving = false;
            returnedNanos = nowNanos;
        }
    }

    /** Leaves the time that this instance did not run out of the server's silence. */
    void excludePause(long gapNanos) {
        if (reportedNanos != Long.MIN_VALUE) {
            reportedNanos += gapNanos;
        }
    }

    /** Notes that a report was asked for in vain. */
    void recordMissedReport() {
        missedReports++;
        if (missedReports >= MISSED_REPORTS_TO_EJECT) {
            wasSilent = true;
        }
    }

    /** Notes that the server is about to leave; holds until it has been silent and reports again. */
    void markLeaving() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Tells whether the server stopped reporting. */
    boolean isSilent(long nowNanos) {
        return wasSilent || reportedNanos == Long.MIN_VALUE || nowNanos - reportedNanos > SILENCE_NANOS;
    }

    /** Tells whether the server is kept from work for a time because attempts failed there. */
    boolean isEjected(long nowNanos) {
        return nowNanos < ejectedUntilNanos;
    }

    /** Returns the part of its room that the server may fill, below 1 for a while after it returned. */
    double slowStartShare(long nowNanos) {
        if (returnedNanos == Long.MIN_VALUE || nowNanos - returnedNanos >= SLOW_START_NANOS) {
            return 1;
        }
        return SLOW_START_LEAST
                + (1 - SLOW_START_LEAST) * Math.max(0, nowNanos - returnedNanos) / (double) SLOW_START_NANOS;
    }

    private void eject(long nowNanos) {
        if (nowNanos < ejectedUntilNanos) {
            return;
        }
        long length = SHORTEST_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS);
        double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
        ejectedUntilNanos = nowNanos + (long) (length * jitter);
        returnedNanos = ejectedUntilNanos;
        ejections++;
        failures = 0;
    }
}
