package org.mangoridge.orders.lease;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The durations and intervals of a lease.
 *
 * @param duration how long the lease is valid after a renewal
 * @param renewInterval how long after a renewal the next is sent
 * @param readInterval how often a candidate reads a lease that another holds
 * @param maxOrderDuration the maximum time from sending an order until it is carried out, transmission included
 * @param maxDriftPerMille the maximum drift between two monotonic clocks, in thousandths of the elapsed time
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
                "the lease duration %s must be at least twice the renewal interval %s",
                duration,
                renewInterval);
        Checks.argument(
                maxOrderDuration.plus(renewInterval).compareTo(duration) < 0,
                "the lease duration %s must exceed the order duration %s plus the renewal interval %s",
                duration,
                maxOrderDuration,
                renewInterval);
        Checks.argument(
                maxDriftPerMille >= 0 && maxDriftPerMille < PER_MILLE,
                "maxDriftPerMille must be from 0 to 999: %d",
                maxDriftPerMille);
    }

    /** Returns the timing of a lease of 90 s, for orders of at most 60 s. */
    public static LeaseTiming standard() {
        return new LeaseTiming(
                Duration.ofSeconds(90), Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(60), 5);
    }

    /** Returns how long a holder may rely on the lease after it sent a renewal: the duration less the maximum drift. */
    Duration holderValidity() {
        return duration.multipliedBy(PER_MILLE - maxDriftPerMille).dividedBy(PER_MILLE);
    }

    /**
     * Returns {@code nominal} extended by the maximum drift: how long another instance waits by its own clock until the
     * time has passed on the holder's clock, too.
     */
    Duration withDriftMargin(Duration nominal) {
        return nominal.multipliedBy(PER_MILLE + maxDriftPerMille).dividedBy(PER_MILLE);
    }
}
