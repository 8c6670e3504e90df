package org.mangoridge.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** The health of a server: ejection after failed attempts, silence after missed reports, and slow start afterwards. */
final class ServerHealth {

    private static final int FAILURES_TO_EJECT = 3;
    private static final int MISSED_REPORTS_TO_SILENT = 3;
    private static final long REPORT_TIMEOUT_NANOS = Duration.ofMillis(1500).toNanos();
    private static final long MIN_EJECTION_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_EJECTION_DOUBLINGS = 5;
    private static final double EJECTION_JITTER = 0.25;
    private static final long SLOW_START_NANOS = Duration.ofSeconds(5).toNanos();
    private static final double SLOW_START_MIN_SHARE = 0.2;

    private final RandomGenerator random;
    private int failures;
    private int missedReports;
    private int ejections;
    private long ejectedUntilNanos = Long.MIN_VALUE;
    private long returnedNanos = Long.MIN_VALUE;
    private long lastReportNanos = Long.MIN_VALUE;
    private boolean leaving;
    private boolean silent;

    ServerHealth(RandomGenerator random) {
        this.random = random;
    }

    /** Records a successful attempt. */
    void recordSuccess() {
        failures = 0;
        ejections = 0;
    }

    /** Records an attempt that failed because of the server; an unreachable server counts double. */
    void recordFailure(boolean unreachable, long nowNanos) {
        failures += unreachable ? 2 : 1;
        if (failures >= FAILURES_TO_EJECT) {
            eject(nowNanos);
        }
    }

    /** Records a transfer that timed out; ejects the server at once, since each such transfer wastes a prefill. */
    void recordStall(long nowNanos) {
        eject(nowNanos);
    }

    /** Records a load report. */
    void recordReport(long nowNanos) {
        lastReportNanos = nowNanos;
        missedReports = 0;
        if (silent) {
            silent = false;
            leaving = false;
            returnedNanos = nowNanos;
        }
    }

    /** Excludes a pause of this process from the time since the server's last report. */
    void excludePause(long gapNanos) {
        if (lastReportNanos != Long.MIN_VALUE) {
            lastReportNanos += gapNanos;
        }
    }

    /** Records a load query that the server did not answer. */
    void recordMissedReport() {
        missedReports++;
        if (missedReports >= MISSED_REPORTS_TO_SILENT) {
            silent = true;
        }
    }

    /** Marks the server as leaving, until it reports again after a time of silence. */
    void markLeaving() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Returns whether the server has stopped reporting. */
    boolean isSilent(long nowNanos) {
        return silent || lastReportNanos == Long.MIN_VALUE || nowNanos - lastReportNanos > REPORT_TIMEOUT_NANOS;
    }

    /** Returns whether the server is ejected because of failed attempts. */
    boolean isEjected(long nowNanos) {
        return nowNanos < ejectedUntilNanos;
    }

    /** Returns the share of its slots that the server may use, below 1 during the slow start after its return. */
    double slowStartShare(long nowNanos) {
        if (returnedNanos == Long.MIN_VALUE || nowNanos - returnedNanos >= SLOW_START_NANOS) {
            return 1;
        }
        return SLOW_START_MIN_SHARE
                + (1 - SLOW_START_MIN_SHARE) * Math.max(0, nowNanos - returnedNanos) / (double) SLOW_START_NANOS;
    }

    private void eject(long nowNanos) {
        if (nowNanos < ejectedUntilNanos) {
            return;
        }
        long length = MIN_EJECTION_NANOS << Math.min(ejections, MAX_EJECTION_DOUBLINGS);
        double jitter = 1 + EJECTION_JITTER * (2 * random.nextDouble() - 1);
        ejectedUntilNanos = nowNanos + (long) (length * jitter);
        returnedNanos = ejectedUntilNanos;
        ejections++;
        failures = 0;
    }
}
