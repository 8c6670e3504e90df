package org.mangoridge.orders.plan;

import java.time.Duration;

import org.mangoridge.orders.lease.Tenure;

/** What an order machine knows of one engine. */
final class TrackedEngine {

    private EngineFacts facts;
    private Duration readAt = Duration.ZERO;
    private Duration lastAsked;
    private Duration restUntil = Duration.ZERO;
    private EngineOrder pending;

    /** Returns what the engine said last, or null if that is not known. */
    EngineFacts facts() {
        return facts;
    }

    /** Returns the order in progress, or null. */
    EngineOrder pending() {
        return pending;
    }

    /** Tells whether the engine said that it is carrying out an order. */
    boolean isBusy() {
        return pending == null && facts != null && facts.busy();
    }

    /** Notes that the state is asked for, if it is due. */
    boolean startRead(Duration now, Duration interval) {
        if (pending != null || (lastAsked != null && now.compareTo(lastAsked.plus(interval)) < 0)) {
            return false;
        }
        lastAsked = now;
        return true;
    }

    void read(EngineFacts newFacts, Duration now) {
        facts = newFacts;
        readAt = now;
    }

    void unreadable() {
        facts = null;
    }

    void restUntil(Duration time) {
        restUntil = time;
    }

    void give(EngineOrder order) {
        pending = order;
    }

    void settled() {
        pending = null;
    }

    /** Tells whether an order may be given: none is in progress and the state was read when no older one could come. */
    boolean takesOrders(Tenure tenure, Duration now) {
        return pending == null
                && facts != null
                && !facts.busy()
                && readAt.compareTo(tenure.startedAt()) >= 0
                && now.compareTo(restUntil) >= 0;
    }
}
