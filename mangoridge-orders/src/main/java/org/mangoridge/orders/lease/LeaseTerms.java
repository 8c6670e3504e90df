package org.mangoridge.orders.lease;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The times of a lease.
 *
 * @param duration how long it lasts from a renewal
 * @param renewEvery how long after a renewal the next is sent
 * @param readEvery how often a candidate reads a lease that another holds
 * @param longestOrder the longest that an order may take to be carried out, on its way included
 * @param maxDriftPerMille how far two monotonic clocks may drift apart, in thousandths
 */
public record LeaseTerms(
        Duration duration, Duration renewEvery, Duration readEvery, Duration longestOrder, int maxDriftPerMille) {

    private static final int PER_MILLE = 1000;

    public LeaseTerms {
        Checks.argument(
                renewEvery.multipliedBy(2).compareTo(duration) <= 0,
                "a lease must last at least two renewals: %s, renewed every %s",
                duration,
                renewEvery);
        Checks.argument(
                longestOrder.plus(renewEvery).compareTo(duration) < 0,
                "a lease must outlast the longest order and a renewal: %s against %s and %s",
                duration,
                longestOrder,
                renewEvery);
        Checks.argument(
                maxDriftPerMille >= 0 && maxDriftPerMille < PER_MILLE, "drift out of range: %d", maxDriftPerMille);
    }

    /** Returns terms with a lease of 90 s and orders of at most 60 s. */
    public static LeaseTerms standard() {
        return new LeaseTerms(
                Duration.ofSeconds(90), Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(60), 5);
    }

    /** Returns the time that a holder may count on after sending a renewal. */
    Duration holderTime() {
        return duration.multipliedBy(PER_MILLE - maxDriftPerMille).dividedBy(PER_MILLE);
    }

    /** Returns the time that everyone else waits, after reading a renewal of {@code written}, before they take over. */
    Duration othersTime(Duration written) {
        return written.multipliedBy(PER_MILLE + maxDriftPerMille).dividedBy(PER_MILLE);
    }
}
