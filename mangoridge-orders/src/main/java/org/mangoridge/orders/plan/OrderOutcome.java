package org.mangoridge.orders.plan;

/** The outcome of an order. */
public sealed interface OrderOutcome {

    /**
     * The engine carried out the order.
     *
     * @param facts the state that the engine reported afterwards
     */
    record Obeyed(EngineFacts facts) implements OrderOutcome {}

    /**
     * The engine rejected the order because of its old fencing token, and did nothing.
     *
     * @param seen the greatest fencing token that the engine has seen
     */
    record OldFencing(long seen) implements OrderOutcome {}

    /**
     * The engine rejected the order for another reason, and did nothing.
     *
     * @param detail the reason
     */
    record Refused(String detail) implements OrderOutcome {}

    /**
     * The outcome is unknown: the engine may have carried out the order, or may still do so.
     *
     * @param detail why the outcome is unknown
     */
    record Unknown(String detail) implements OrderOutcome {}
}
