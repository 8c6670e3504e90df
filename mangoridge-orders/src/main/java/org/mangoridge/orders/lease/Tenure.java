package org.mangoridge.orders.lease;

import java.time.Duration;

import org.mangoridge.core.id.FencingToken;

/**
 * A period in which one holder keeps the lease without interruption; its times are those of the monotonic clock.
 *
 * @param fencing the fencing token of the tenure
 * @param startedAt when the holder took the lease
 * @param validUntil when the tenure ends unless the lease is renewed
 * @param quietUntil when orders of the previous holder can no longer arrive
 */
public record Tenure(FencingToken fencing, Duration startedAt, Duration validUntil, Duration quietUntil) {

    /** Tells whether an order may be sent to a server that checks fencing tokens. */
    public boolean coversFencedOrder(Duration now) {
        return now.compareTo(validUntil) < 0;
    }

    /**
     * Tells whether an order may be sent to a server that ignores fencing tokens: it will be complete before another
     * holder can take the lease, and no order of the previous holder can still arrive.
     */
    public boolean coversUnfencedOrder(Duration now, Duration maxOrderDuration) {
        return now.compareTo(quietUntil) >= 0 && now.plus(maxOrderDuration).compareTo(validUntil) < 0;
    }

    /** Returns this tenure, valid at least until {@code later}. */
    Tenure extendedTo(Duration later) {
        return new Tenure(fencing, startedAt, later.compareTo(validUntil) > 0 ? later : validUntil, quietUntil);
    }
}
