package org.mangoridge.orders.lease;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The times of a lease.
 *
 * @param duration how long it lasts from a renewal
 * @param renewInterval how long after a renewal the next is sent
 * @param readInterval how often a candidate reads a lease that another holds
 * @param maxOrderDuration the longest that an order may take to be carried out, on its way included
 * @param maxDriftPerMille how far two monotonic clocks may drift apart, in thousandths
 */
public record LeaseTiming(
        Duration duration,
        Duration renewInterval,
        Duration readInterval,
        Duration maxOrderDuration,
        int maxDriftPerMille) {

    private static final int PER_MILLE = 1000;

    public LeaseTiming {
        Checks.argument(
                renewInterval.multipliedBy(2).compareTo(duration) <= 0,
                "a lease must last at least two renewals: %s, renewed every %s",
                duration,
                renewInterval);
        Checks.argument(
                maxOrderDuration.plus(renewInterval).compareTo(duration) < 0,
                "a lease must outlast the longest order and a renewal: %s against %s and %s",
                duration,
                maxOrderDuration,
                renewInterval);
        Checks.argument(
                maxDriftPerMille >= 0 && maxDriftPerMille < PER_MILLE, "drift out of range: %d", maxDriftPerMille);
    }

    /** Returns terms with a lease of 90 s and orders of at most 60 s. */
    public static LeaseTiming standard() {
        return new LeaseTiming(
                Duration.ofSeconds(90), Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(60), 5);
    }

    /** Returns the time that a holder may count on after sending a renewal. */
    Duration holderValidity() {
        return duration.multipliedBy(PER_MILLE - maxDriftPerMille).dividedBy(PER_MILLE);
    }

    /** Returns the time that everyone else waits, after reading a renewal of {@code written}, before they take over. */
    Duration withDriftMargin(Duration written) {
        return written.multipliedBy(PER_MILLE + maxDriftPerMille).dividedBy(PER_MILLE);
    }
}
