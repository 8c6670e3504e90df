package org.mangoridge.orders.lease;

import java.util.Optional;

import org.mangoridge.objects.WriteOutcome;

/** An event that a {@link LeaseMachine} handles. */
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
     * @param stored the lease, empty if the store holds none
     * @param era the era of the store, which rises each time it is restored from a copy; zero if it names none
     */
    record LeaseRead(Optional<StoredLease> stored, long era) implements LeaseEvent {}

    /** The lease could not be read. */
    record ReadFailed() implements LeaseEvent {}

    /**
     * The last write was answered or timed out.
     *
     * @param outcome the outcome of the write
     */
    record WriteFinished(WriteOutcome outcome) implements LeaseEvent {}

    /**
     * A server reported a fencing token that it has seen.
     *
     * @param fencing the token
     */
    record FencingSeen(long fencing) implements LeaseEvent {}

    /** The lease may be lost unnoticed: the store was restored from a copy, or the process was suspended. */
    record Invalidated() implements LeaseEvent {}

    /** The instance is shutting down and has no order in progress. */
    record Release() implements LeaseEvent {}

    /**
     * A lease with the version of its object in the store.
     *
     * @param record the lease
     * @param version the version of the object
     */
    record StoredLease(LeaseRecord record, long version) {}
}
