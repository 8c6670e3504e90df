package org.mangoridge.orders.plan;

import java.time.Duration;

import org.mangoridge.orders.lease.Tenure;

/** The state that an {@link OrderMachine} keeps for one engine. */
final class TrackedEngine {

    private EngineFacts facts;
    private Duration factsReadAt = Duration.ZERO;
    private Duration lastReadStart;
    private Duration ordersBlockedUntil = Duration.ZERO;
    private EngineOrder pendingOrder;

    /** Returns the state that the engine reported last, or null if it is unknown. */
    EngineFacts facts() {
        return facts;
    }

    /** Returns the order in progress, or null. */
    EngineOrder pendingOrder() {
        return pendingOrder;
    }

    /** Tells whether the engine reported that it is busy although this machine has no order to it in progress. */
    boolean isBusy() {
        return pendingOrder == null && facts != null && facts.busy();
    }

    /** Tells whether the next read of the engine's state is due, and if so, records that it starts now. */
    boolean startReadIfDue(Duration now, Duration interval) {
        if (pendingOrder != null || (lastReadStart != null && now.compareTo(lastReadStart.plus(interval)) < 0)) {
            return false;
        }
        lastReadStart = now;
        return true;
    }

    void recordFacts(EngineFacts newFacts, Duration now) {
        facts = newFacts;
        factsReadAt = now;
    }

    void forgetFacts() {
        facts = null;
    }

    /** Prevents orders to the engine until {@code time}. */
    void blockOrdersUntil(Duration time) {
        ordersBlockedUntil = time;
    }

    void startOrder(EngineOrder order) {
        pendingOrder = order;
    }

    void finishOrder() {
        pendingOrder = null;
    }

    /** Tells whether an order may be sent: none is in progress, and the engine's state was read in {@code tenure}. */
    boolean acceptsOrder(Tenure tenure, Duration now) {
        return pendingOrder == null
                && facts != null
                && !facts.busy()
                && factsReadAt.compareTo(tenure.startedAt()) >= 0
                && now.compareTo(ordersBlockedUntil) >= 0;
    }
}
