package org.mangoridge.entry.orders;

import org.mangoridge.orders.plan.EngineOrder;
import org.mangoridge.orders.plan.OrderOutcome;

/** Records the orders sent to engines with their outcomes; called on a thread that may block. */
@FunctionalInterface
public interface OrderAudit {

    /** Records an order and its outcome. */
    void record(EngineOrder order, OrderOutcome outcome);
}
