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

/**
 * Sends orders to the engines of every model service that has servers in this availability zone, while this instance
 * holds the lease of the service.
 */
public final class OrderLoop implements AutoCloseable {

    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

    private final ControlLoop control;
    private final Clock clock;
    private final Owner owner;
    private final AvailabilityZone zone;
    private final ObjectStore store;
    private final EngineOrderClient engines;
    private final OrderAudit audit;
    private final LeaseTiming leaseTiming;
    private final OrderRules rules;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<ServiceId, ServiceOrders> services = new HashMap<>();
    private boolean releasing;

    private OrderLoop(
            ControlLoop control,
            Clock clock,
            Owner owner,
            AvailabilityZone zone,
            ObjectStore store,
            EngineDirectory engines,
            OrderAudit audit,
            LeaseTiming leaseTiming,
            OrderRules rules) {
        this.control = control;
        this.clock = clock;
        this.owner = owner;
        this.zone = zone;
        this.store = store;
        this.engines = new EngineOrderClient(engines);
        this.audit = audit;
        this.leaseTiming = leaseTiming;
        this.rules = rules;
    }

    /** Returns a loop with the standard lease timing and order rules, which does nothing before {@link #start}. */
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
     * Starts the loop.
     *
     * @param deployment supplies the current configuration
     * @param candidate tests whether this instance should acquire the lease of a service; called on the control thread
     */
    public OrderLoop start(Supplier<Deployment> deployment, Predicate<ServiceId> candidate) {
        control.every(TICK_INTERVAL, () -> tick(deployment.get(), candidate));
        return this;
    }

    /**
     * Stops acquiring leases and starts to release those held; called on the control thread.
     *
     * @return whether no lease is held any more; if false, the method must be called again
     */
    public boolean releaseLeases() {
        releasing = true;
        boolean allReleased = true;
        for (ServiceOrders service : services.values()) {
            allReleased &= service.releaseLease();
        }
        return allReleased;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void tick(Deployment deployment, Predicate<ServiceId> candidate) {
        if (releasing) {
            return;
        }
        services.keySet().removeIf(id -> !hasServersInZone(deployment, id));
        for (Service service : deployment.services()) {
            if (service.kind() == ServiceKind.MODEL && hasServersInZone(deployment, service.id())) {
                services.computeIfAbsent(service.id(), this::createServiceOrders)
                        .tick(deployment, candidate.test(service.id()));
            }
        }
    }

    private boolean hasServersInZone(Deployment deployment, ServiceId service) {
        return deployment.serversOf(service).stream().map(Server::zone).anyMatch(zone::equals);
    }

    private ServiceOrders createServiceOrders(ServiceId service) {
        ObjectKey key = ObjectKey.of("leases/" + zone + "/" + service);
        return new ServiceOrders(
                control,
                executor,
                clock,
                new LeaseStore(store, key),
                engines,
                audit,
                LeaseMachine.create(owner, leaseTiming),
                OrderMachine.create(zone, service, rules));
    }
}
