package org.mangoridge.orders.plan;

import java.util.Optional;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.orders.lease.Tenure;
import org.mangoridge.settings.deployment.Deployment;

/** What an order machine reacts to. */
public sealed interface OrderEvent {

    /**
     * Time passed.
     *
     * @param deployment the configuration in force
     * @param tenure the tenure of the lease, empty if it is not held
     */
    record Tick(Deployment deployment, Optional<Tenure> tenure) implements OrderEvent {}

    /**
     * An engine's state was read.
     *
     * @param server the engine's server
     * @param facts what it says
     */
    record StateRead(ServerId server, EngineFacts facts) implements OrderEvent {}

    /**
     * An engine did not answer when its state was read.
     *
     * @param server the engine's server
     */
    record StateReadFailed(ServerId server) implements OrderEvent {}

    /**
     * An order was answered, or is given up waiting for.
     *
     * @param order the order
     * @param outcome what became of it
     */
    record OrderFinished(EngineOrder order, OrderOutcome outcome) implements OrderEvent {}
}
