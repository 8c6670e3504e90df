package org.mangoridge.peer.membership;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The times that membership works by.
 *
 * @param period between two probes of the own zone
 * @param probeTimeout how long an answer may take
 * @param suspicion how long a member of the own zone has to contradict
 * @param farSuspicion how long a member of another zone has to contradict
 * @param forget how long the dead are remembered
 */
public record MembershipTiming(
        Duration period, Duration probeTimeout, Duration suspicion, Duration farSuspicion, Duration forget) {

    private static final MembershipTiming STANDARD = new MembershipTiming(
            Duration.ofMillis(250),
            Duration.ofMillis(400),
            Duration.ofMillis(1000),
            Duration.ofSeconds(10),
            Duration.ofMinutes(10));

    public MembershipTiming {
        Checks.argument(period.toNanos() > 0, "period must be positive");
        Checks.argument(suspicion.compareTo(period) >= 0, "suspicion must last at least one period");
    }

    /** Returns the times that instances use. */
    public static MembershipTiming standard() {
        return STANDARD;
    }
}
