package org.mangoridge.entry.lifecycle;

/** What a shutdown reacts to. */
public sealed interface DrainEvent {

    /** A shutdown is asked for; asking again changes nothing. */
    record Requested() implements DrainEvent {}

    /** The shutdown is to end at once. */
    record Hurried() implements DrainEvent {}

    /**
     * Time passed.
     *
     * @param openRequests the requests whose answers are not yet sent whole
     */
    record Tick(int openRequests) implements DrainEvent {}
}
