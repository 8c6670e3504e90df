package org.mangoridge.entry.orders;

import org.mangoridge.orders.plan.EngineOrder;
import org.mangoridge.orders.plan.OrderOutcome;

/** Records every order and what became of it; called on a thread that may block. */
@FunctionalInterface
public interface OrderAudit {

    /** Records {@code outcome} of {@code order}. */
    void record(EngineOrder order, OrderOutcome outcome);
}
