package org.mangoridge.orders.lease;

import java.time.Duration;

import org.mangoridge.core.id.FencingToken;

/**
 * What a holder may count on.
 *
 * @param fencing its fencing number
 * @param startedAt when it took the lease, on the monotonic clock
 * @param validUntil when it must stop, on the monotonic clock, unless it renews
 * @param quietUntil when an order of the last holder can no longer arrive, on the monotonic clock
 */
public record Tenure(FencingToken fencing, Duration startedAt, Duration validUntil, Duration quietUntil) {

    /** Tells whether an order that a server checks the fencing number of may be given. */
    public boolean coversFencedOrder(Duration now) {
        return now.compareTo(validUntil) < 0;
    }

    /**
     * Tells whether an order to a server that ignores fencing numbers may be given: it will be over before another
     * holder can take the lease, and no order of the last holder can still arrive.
     */
    public boolean coversUnfencedOrder(Duration now, Duration maxOrderDuration) {
        return now.compareTo(quietUntil) >= 0 && now.plus(maxOrderDuration).compareTo(validUntil) < 0;
    }

    Tenure until(Duration later) {
        return new Tenure(fencing, startedAt, later.compareTo(validUntil) > 0 ? later : validUntil, quietUntil);
    }
}
