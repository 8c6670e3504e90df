package org.mangoridge.orders.lease;

import java.util.Optional;

import org.mangoridge.objects.WriteOutcome;

/** What a lease machine reacts to. */
public sealed interface LeaseEvent {

    /**
     * Time passed.
     *
     * @param candidate whether this instance should take the lease if it is free
     */
    record Tick(boolean candidate) implements LeaseEvent {}

    /**
     * The lease was read.
     *
     * @param stored what the store holds, empty if it holds no lease
     */
    record LeaseRead(Optional<StoredLease> stored) implements LeaseEvent {}

    /** The store did not answer a read. */
    record ReadFailed() implements LeaseEvent {}

    /**
     * The write asked for last was answered, or is given up waiting for.
     *
     * @param outcome what became of it
     */
    record WriteFinished(WriteOutcome outcome) implements LeaseEvent {}

    /**
     * A server named a fencing number that it has seen.
     *
     * @param fencing the number
     */
    record FencingSeen(long fencing) implements LeaseEvent {}

    /** The instance is shutting down and has no order in progress. */
    record Release() implements LeaseEvent {}

    /**
     * A lease with its version.
     *
     * @param record the lease
     * @param version the object's version
     */
    record StoredLease(LeaseRecord record, long version) {}
}
