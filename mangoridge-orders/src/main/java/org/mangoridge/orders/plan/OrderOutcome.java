package org.mangoridge.orders.plan;

/** What became of an order. */
public sealed interface OrderOutcome {

    /**
     * The engine obeyed.
     *
     * @param facts what it says of itself afterwards
     */
    record Obeyed(EngineFacts facts) implements OrderOutcome {}

    /**
     * The engine refused an old fencing number and did nothing.
     *
     * @param seen the greatest number that it has seen
     */
    record OldFencing(long seen) implements OrderOutcome {}

    /**
     * The engine refused and did nothing.
     *
     * @param detail why
     */
    record Refused(String detail) implements OrderOutcome {}

    /**
     * The engine may have obeyed, or may yet.
     *
     * @param detail why it is not known
     */
    record Unknown(String detail) implements OrderOutcome {}
}
