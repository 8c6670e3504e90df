package org.mangoridge.orders.lease;

import org.mangoridge.objects.Precondition;

/** An action of a {@link LeaseMachine}; at most one is in progress. */
public sealed interface LeaseAction {

    /** Read the lease. */
    record ReadLease() implements LeaseAction {}

    /**
     * Write the lease.
     *
     * @param record the lease to write
     * @param condition the precondition of the write
     */
    record WriteLease(LeaseRecord record, Precondition condition) implements LeaseAction {}
}
