package org.mangoridge.peer.membership;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * Intervals and timeouts of failure detection.
 *
 * @param probeInterval the interval between two probes of the instance's own zone
 * @param probeTimeout how long a probe waits for its answer
 * @param suspicionTimeout how long a suspected member of the own zone has to refute the suspicion
 * @param remoteSuspicionTimeout how long a suspected member of another zone has to refute the suspicion
 * @param deadMemberRetention how long the record of a dead or stopped member is kept
 */
public record MembershipTiming(
        Duration probeInterval,
        Duration probeTimeout,
        Duration suspicionTimeout,
        Duration remoteSuspicionTimeout,
        Duration deadMemberRetention) {

    private static final MembershipTiming STANDARD = new MembershipTiming(
            Duration.ofMillis(250),
            Duration.ofMillis(400),
            Duration.ofMillis(1000),
            Duration.ofSeconds(10),
            Duration.ofMinutes(10));

    public MembershipTiming {
        Checks.argument(probeInterval.toNanos() > 0, "probe interval must be positive");
        Checks.argument(
                suspicionTimeout.compareTo(probeInterval) >= 0,
                "suspicion timeout must be at least one probe interval");
    }

    /** Returns the timing that instances use. */
    public static MembershipTiming standard() {
        return STANDARD;
    }
}
