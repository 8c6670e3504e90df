package org.mangoridge.objects.budget;

/** The purpose of a call to the platform; each has its own call budget, so that no purpose can starve another. */
public enum CallPurpose {
    /** Watching and reading the configuration. */
    CONFIGURATION(1, 200),
    /** Leases and orders to engines. */
    LEASES(1, 20),
    /** Claims of requests that may run at most once. */
    CLAIMS(2, 50),
    /** The audit trail. */
    AUDIT(0.5, 50),
    /** Commands of operators; most calls are made by configuration applies. */
    OPERATORS(2, 400);

    private final double callsPerSecond;
    private final int burst;

    CallPurpose(double callsPerSecond, int burst) {
        this.callsPerSecond = callsPerSecond;
        this.burst = burst;
    }

    /** Returns the sustained rate of calls of one instance. */
    double callsPerSecond() {
        return callsPerSecond;
    }

    /** Returns the maximum number of calls that one instance may make in a burst. */
    int burst() {
        return burst;
    }
}
