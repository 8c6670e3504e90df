package org.mangoridge.entry.orders;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.orders.lease.LeaseMachine;
import org.mangoridge.orders.lease.LeaseTiming;
import org.mangoridge.orders.plan.OrderMachine;
import org.mangoridge.orders.plan.OrderRules;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;
import org.mangoridge.settings.deployment.ServiceKind;

/** Gives orders for every model service that has engines in this availability zone. */
public final class OrderLoop implements AutoCloseable {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final ControlLoop control;
    private final Clock clock;
    private final Owner owner;
    private final AvailabilityZone zone;
    private final ObjectStore store;
    private final EngineOrderClient engines;
    private final OrderAudit audit;
    private final LeaseTiming terms;
    private final OrderRules rules;
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<ServiceId, ServiceOrders> services = new HashMap<>();
    private boolean givingBack;

    private OrderLoop(
            ControlLoop control,
            Clock clock,
            Owner owner,
            AvailabilityZone zone,
            ObjectStore store,
            EngineDirectory engines,
            OrderAudit audit,
            LeaseTiming terms,
            OrderRules rules) {
        this.control = control;
        this.clock = clock;
        this.owner = owner;
        this.zone = zone;
        this.store = store;
        this.engines = new EngineOrderClient(engines);
        this.audit = audit;
        this.terms = terms;
        this.rules = rules;
    }

    /** Returns a loop with standard times, which does nothing before {@link #start}. */
    public static OrderLoop create(
            ControlLoop control,
            Clock clock,
            Owner owner,
            AvailabilityZone zone,
            ObjectStore store,
            EngineDirectory engines,
            OrderAudit audit) {
        return new OrderLoop(
                control, clock, owner, zone, store, engines, audit, LeaseTiming.standard(), OrderRules.standard());
    }

    /**
     * Starts giving orders.
     *
     * @param deployment the configuration in force
     * @param candidate whether this instance should take the lease of a service; asked on the control thread
     */
    public OrderLoop start(Supplier<Deployment> deployment, Predicate<ServiceId> candidate) {
        control.every(INTERVAL, () -> tick(deployment.get(), candidate));
        return this;
    }

    /** Stops taking leases and gives back those held; called on the control thread, again until it tells true. */
    public boolean releaseLeases() {
        givingBack = true;
        boolean done = true;
        for (ServiceOrders service : services.values()) {
            done &= service.releaseLease();
        }
        return done;
    }

    @Override
    public void close() {
        calls.shutdownNow();
    }

    private void tick(Deployment deployment, Predicate<ServiceId> candidate) {
        if (givingBack) {
            return;
        }
        services.keySet().removeIf(id -> !isServedHere(deployment, id));
        for (Service service : deployment.services()) {
            if (service.kind() == ServiceKind.MODEL && isServedHere(deployment, service.id())) {
                services.computeIfAbsent(service.id(), this::begin).tick(deployment, candidate.test(service.id()));
            }
        }
    }

    private boolean isServedHere(Deployment deployment, ServiceId service) {
        return deployment.serversOf(service).stream().map(Server::zone).anyMatch(zone::equals);
    }

    private ServiceOrders begin(ServiceId service) {
        ObjectKey key = ObjectKey.of("leases/" + zone + "/" + service);
        return new ServiceOrders(
                control,
                calls,
                clock,
                new LeaseStore(store, key),
                engines,
                audit,
                LeaseMachine.create(owner, terms),
                OrderMachine.create(zone, service, rules));
    }
}
