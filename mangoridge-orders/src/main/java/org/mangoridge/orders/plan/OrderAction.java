package org.mangoridge.orders.plan;

import org.mangoridge.core.id.ServerId;

/** An action of an {@link OrderMachine}. */
public sealed interface OrderAction {

    /**
     * Read an engine's state.
     *
     * @param server the id of the engine's server
     */
    record ReadState(ServerId server) implements OrderAction {}

    /**
     * Send an order; it is answered by {@link OrderEvent.OrderFinished}.
     *
     * @param order the order to send
     */
    record SendOrder(EngineOrder order) implements OrderAction {}

    /**
     * Report a fencing token, seen at an engine, to the lease machine.
     *
     * @param fencing the token
     */
    record ReportFencing(long fencing) implements OrderAction {}
}
