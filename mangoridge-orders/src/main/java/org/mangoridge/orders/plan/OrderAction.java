package org.mangoridge.orders.plan;

import org.mangoridge.core.id.ServerId;

/** What an order machine asks for. */
public sealed interface OrderAction {

    /**
     * Read an engine's state.
     *
     * @param server the engine's server
     */
    record ReadState(ServerId server) implements OrderAction {}

    /**
     * Give an order; it is answered with {@link OrderEvent.OrderFinished}.
     *
     * @param order the order
     */
    record SendOrder(EngineOrder order) implements OrderAction {}

    /**
     * Tell the lease machine of a greater fencing number.
     *
     * @param fencing the number
     */
    record ReportFencing(long fencing) implements OrderAction {}
}
