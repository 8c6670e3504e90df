package org.mangoridge.entry.lifecycle;

/** An input of the shutdown state machine. */
public sealed interface DrainEvent {

    /** A shutdown was requested; further requests have no effect. */
    record Requested() implements DrainEvent {}

    /** The drain time is to end immediately. */
    record Forced() implements DrainEvent {}

    /**
     * A periodic tick.
     *
     * @param openRequests the number of requests whose answers are not completely sent
     */
    record Tick(int openRequests) implements DrainEvent {}
}
