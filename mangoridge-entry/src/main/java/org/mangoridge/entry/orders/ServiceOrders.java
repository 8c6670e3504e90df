package org.mangoridge.entry.orders;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;

import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.orders.lease.LeaseAction;
import org.mangoridge.orders.lease.LeaseEvent;
import org.mangoridge.orders.lease.LeaseMachine;
import org.mangoridge.orders.lease.Tenure;
import org.mangoridge.orders.plan.EngineFacts;
import org.mangoridge.orders.plan.OrderAction;
import org.mangoridge.orders.plan.OrderEvent;
import org.mangoridge.orders.plan.OrderMachine;
import org.mangoridge.orders.plan.OrderOutcome;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;

/**
 * Drives the lease and the order machine of one service in this availability zone.
 *
 * <p>Used by the control thread. Calls to the store and to engines run on an executor, which posts their results back
 * to the control thread.
 */
final class ServiceOrders {

    private final ControlLoop control;
    private final Executor executor;
    private final Clock clock;
    private final LeaseStore leases;
    private final EngineOrderClient engines;
    private final OrderAudit audit;
    private final LeaseMachine lease;
    private final OrderMachine orders;
    private Deployment deployment = Deployment.empty();
    private boolean leaseHeld;

    ServiceOrders(
            ControlLoop control,
            Executor executor,
            Clock clock,
            LeaseStore leases,
            EngineOrderClient engines,
            OrderAudit audit,
            LeaseMachine lease,
            OrderMachine orders) {
        this.control = control;
        this.executor = executor;
        this.clock = clock;
        this.leases = leases;
        this.engines = engines;
        this.audit = audit;
        this.lease = lease;
        this.orders = orders;
    }

    /** Advances both machines under the current configuration. */
    void tick(Deployment currentDeployment, boolean candidate) {
        deployment = currentDeployment;
        Duration now = clock.elapsed();
        apply(new LeaseEvent.Tick(candidate));
        Optional<Tenure> tenure = lease.tenure(now);
        logLeaseChange(tenure);
        apply(new OrderEvent.Tick(currentDeployment, tenure));
    }

    /** Releases the lease once no order is in progress; returns whether the lease is no longer held. */
    boolean releaseLease() {
        if (lease.tenure(clock.elapsed()).isEmpty()) {
            return true;
        }
        if (orders.isIdle()) {
            apply(new LeaseEvent.Release());
        }
        return false;
    }

    private void logLeaseChange(Optional<Tenure> tenure) {
        if (tenure.isPresent() && !leaseHeld) {
            EventLog.write(
                    LogEvent.LEASE_TAKEN, Field.of("fencing", tenure.get().fencing()));
        }
        if (tenure.isEmpty() && leaseHeld) {
            EventLog.write(LogEvent.LEASE_LOST);
        }
        leaseHeld = tenure.isPresent();
    }

    private void apply(LeaseEvent event) {
        Optional<LeaseAction> action = lease.on(event, clock.elapsed());
        action.ifPresent(requested -> executor.execute(() -> {
            LeaseEvent result = leases.execute(requested);
            control.post(() -> apply(result));
        }));
    }

    private void apply(OrderEvent event) {
        orders.on(event, clock.elapsed()).forEach(this::execute);
    }

    private void execute(OrderAction action) {
        switch (action) {
            case OrderAction.ReadState read -> executor.execute(() -> readState(read.server()));
            case OrderAction.SendOrder sendOrder -> executor.execute(() -> send(sendOrder));
            case OrderAction.ReportFencing report -> apply(new LeaseEvent.FencingSeen(report.fencing()));
        }
    }

    private void readState(ServerId server) {
        Optional<EngineFacts> facts = address(server).flatMap(engines::readState);
        OrderEvent event = facts.isPresent()
                ? new OrderEvent.StateRead(server, facts.get())
                : new OrderEvent.StateReadFailed(server);
        control.post(() -> apply(event));
    }

    private void send(OrderAction.SendOrder action) {
        OrderOutcome outcome = address(action.order().server())
                .map(address -> engines.send(address, action.order()))
                .orElse(new OrderOutcome.Refused("the server is no longer in the configuration"));
        EventLog.write(LogEvent.ORDER_GIVEN, Field.of("order", action.order()), Field.of("outcome", outcome));
        control.post(() -> apply(new OrderEvent.OrderFinished(action.order(), outcome)));
        audit.record(action.order(), outcome);
    }

    private Optional<HostPort> address(ServerId server) {
        return deployment.server(server).map(Server::address);
    }
}
