package org.mangoridge.orders.plan;

import java.util.Optional;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.orders.lease.Tenure;
import org.mangoridge.settings.deployment.Deployment;

/** An event that an {@link OrderMachine} handles. */
public sealed interface OrderEvent {

    /**
     * Time passed.
     *
     * @param deployment the configuration in force
     * @param tenure the tenure of this instance, empty if it does not hold the lease
     */
    record Tick(Deployment deployment, Optional<Tenure> tenure) implements OrderEvent {}

    /**
     * An engine's state was read.
     *
     * @param server the id of the engine's server
     * @param facts the state that the engine reported
     */
    record StateRead(ServerId server, EngineFacts facts) implements OrderEvent {}

    /**
     * An engine's state could not be read.
     *
     * @param server the id of the engine's server
     */
    record StateReadFailed(ServerId server) implements OrderEvent {}

    /**
     * An order was answered or timed out.
     *
     * @param order the order
     * @param outcome the outcome of the order
     */
    record OrderFinished(EngineOrder order, OrderOutcome outcome) implements OrderEvent {}
}
