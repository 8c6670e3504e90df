package org.mangoridge.orders.lease;

import org.mangoridge.objects.Precondition;

/** What a lease machine asks for; one action is in progress at a time. */
public sealed interface LeaseAction {

    /** Read the lease. */
    record ReadLease() implements LeaseAction {}

    /**
     * Write the lease.
     *
     * @param record the value
     * @param condition what must hold
     */
    record WriteLease(LeaseRecord record, Precondition condition) implements LeaseAction {}
}
