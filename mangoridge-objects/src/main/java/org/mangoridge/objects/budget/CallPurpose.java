package org.mangoridge.objects.budget;

/** What a call to the platform is for; each purpose has a share of its own that no other can use up. */
public enum CallPurpose {
    /** Following the configuration. */
    CONFIGURATION(1, 200),
    /** Leases and orders to engines. */
    LEASES(1, 20),
    /** Claims on orders that may run at most once. */
    CLAIMS(2, 50),
    /** The audit trail. */
    AUDIT(0.5, 50),
    /** What operators ask for, above all applies. */
    OPERATORS(2, 400);

    private final double callsPerSecond;
    private final int burst;

    CallPurpose(double callsPerSecond, int burst) {
        this.callsPerSecond = callsPerSecond;
        this.burst = burst;
    }

    /** Returns the calls that an instance may make in the long run. */
    double callsPerSecond() {
        return callsPerSecond;
    }

    /** Returns the calls that an instance may make at once after a pause. */
    int burst() {
        return burst;
    }
}
