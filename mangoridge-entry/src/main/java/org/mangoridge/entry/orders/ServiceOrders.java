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

/** The lease and the orders of one service in this availability zone; used by the control thread. */
final class ServiceOrders {

    private final ControlLoop control;
    private final Executor calls;
    private final Clock clock;
    private final LeaseStore leases;
    private final EngineOrderClient engines;
    private final OrderAudit audit;
    private final LeaseMachine lease;
    private final OrderMachine orders;
    private Deployment deployment = Deployment.empty();
    private boolean held;

    ServiceOrders(
            ControlLoop control,
            Executor calls,
            Clock clock,
            LeaseStore leases,
            EngineOrderClient engines,
            OrderAudit audit,
            LeaseMachine lease,
            OrderMachine orders) {
        this.control = control;
        this.calls = calls;
        this.clock = clock;
        this.leases = leases;
        this.engines = engines;
        this.audit = audit;
        this.lease = lease;
        this.orders = orders;
    }

    void tick(Deployment inForce, boolean candidate) {
        deployment = inForce;
        Duration now = clock.elapsed();
        apply(new LeaseEvent.Tick(candidate));
        Optional<Tenure> tenure = lease.tenure(now);
        noteTenure(tenure);
        apply(new OrderEvent.Tick(inForce, tenure));
    }

    /** Gives the lease back once no order is in progress; tells whether nothing is held any more. */
    boolean releaseLease() {
        if (lease.tenure(clock.elapsed()).isEmpty()) {
            return true;
        }
        if (orders.isIdle()) {
            apply(new LeaseEvent.Release());
        }
        return false;
    }

    private void noteTenure(Optional<Tenure> tenure) {
        if (tenure.isPresent() && !held) {
            EventLog.write(
                    LogEvent.LEASE_TAKEN, Field.of("fencing", tenure.get().fencing()));
        }
        if (tenure.isEmpty() && held) {
            EventLog.write(LogEvent.LEASE_LOST);
        }
        held = tenure.isPresent();
    }

    private void apply(LeaseEvent event) {
        Optional<LeaseAction> action = lease.on(event, clock.elapsed());
        action.ifPresent(asked -> calls.execute(() -> {
            LeaseEvent answer = leases.execute(asked);
            control.post(() -> apply(answer));
        }));
    }

    private void apply(OrderEvent event) {
        orders.on(event, clock.elapsed()).forEach(this::carryOut);
    }

    private void carryOut(OrderAction action) {
        switch (action) {
            case OrderAction.ReadState read -> calls.execute(() -> readState(read.server()));
            case OrderAction.SendOrder give -> calls.execute(() -> give(give));
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

    private void give(OrderAction.SendOrder give) {
        OrderOutcome outcome = address(give.order().server())
                .map(address -> engines.send(address, give.order()))
                .orElse(new OrderOutcome.Refused("the server left the configuration"));
        EventLog.write(LogEvent.ORDER_GIVEN, Field.of("order", give.order()), Field.of("outcome", outcome));
        control.post(() -> apply(new OrderEvent.OrderFinished(give.order(), outcome)));
        audit.record(give.order(), outcome);
    }

    private Optional<HostPort> address(ServerId server) {
        return deployment.server(server).map(Server::address);
    }
}
