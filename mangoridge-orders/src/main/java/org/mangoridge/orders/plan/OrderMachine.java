package org.mangoridge.orders.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.orders.lease.Tenure;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;

/**
 * Brings the engines of one service in one availability zone to what the configuration says; used by one thread.
 *
 * <p>It gives no order without a tenure that covers it, none to an engine whose state it has not read in this tenure,
 * and none that would leave fewer engines serving than the service's floor.
 */
public final class OrderMachine {

    private final AvailabilityZone zone;
    private final ServiceId service;
    private final OrderRules rules;
    private final Map<ServerId, TrackedEngine> engines = new HashMap<>();
    private long orderCount;

    private OrderMachine(AvailabilityZone zone, ServiceId service, OrderRules rules) {
        this.zone = zone;
        this.service = service;
        this.rules = rules;
    }

    /** Returns a machine that has read nothing yet. */
    public static OrderMachine create(AvailabilityZone zone, ServiceId service, OrderRules rules) {
        return new OrderMachine(
                Checks.notNull(zone, "zone"), Checks.notNull(service, "service"), Checks.notNull(rules, "rules"));
    }

    /** Tells whether no order is in progress, so that the lease may be given back. */
    public boolean isIdle() {
        return engines.values().stream().allMatch(engine -> engine.pending() == null);
    }

    /** Takes an event and returns what to do. */
    public List<OrderAction> on(OrderEvent event, Duration now) {
        return switch (event) {
            case OrderEvent.Tick tick -> tick(tick.deployment(), tick.tenure(), now);
            case OrderEvent.StateRead read -> {
                engine(read.server()).read(read.facts(), now);
                yield reportFencing(read.facts().lastFencing());
            }
            case OrderEvent.StateReadFailed unreadable -> {
                engine(unreadable.server()).unreadable();
                yield List.of();
            }
            case OrderEvent.OrderFinished settled -> settled(settled, now);
        };
    }

    private List<OrderAction> settled(OrderEvent.OrderFinished settled, Duration now) {
        TrackedEngine engine = engine(settled.order().server());
        if (!settled.order().equals(engine.pending())) {
            return List.of();
        }
        engine.settled();
        return switch (settled.outcome()) {
            case OrderOutcome.Obeyed obeyed -> {
                engine.read(obeyed.facts(), now);
                yield List.of();
            }
            case OrderOutcome.OldFencing old -> reportFencing(old.seen());
            case OrderOutcome.Refused refused -> {
                engine.restUntil(now.plus(rules.retryDelay()));
                yield List.of();
            }
            case OrderOutcome.Unknown unknown -> {
                engine.unreadable();
                engine.restUntil(now.plus(rules.maxOrderDuration()));
                yield List.of();
            }
        };
    }

    private static List<OrderAction> reportFencing(long fencing) {
        return fencing > 0 ? List.of(new OrderAction.ReportFencing(fencing)) : List.of();
    }

    private List<OrderAction> tick(Deployment deployment, Optional<Tenure> tenure, Duration now) {
        List<Server> servers = deployment.serversOf(service).stream()
                .filter(server -> server.zone().equals(zone))
                .toList();
        engines.keySet()
                .removeIf(id -> servers.stream().noneMatch(server -> server.id().equals(id)));
        if (tenure.isEmpty()) {
            return List.of();
        }
        List<OrderAction> actions = new ArrayList<>();
        for (Server server : servers) {
            if (engine(server.id()).startRead(now, rules.readInterval())) {
                actions.add(new OrderAction.ReadState(server.id()));
            }
        }
        deployment.service(service).ifPresent(wanted -> giveOrders(wanted, servers, tenure.get(), now, actions));
        return actions;
    }

    private void giveOrders(
            Service wanted, List<Server> servers, Tenure tenure, Duration now, List<OrderAction> actions) {
        ServingFloor floor = new ServingFloor(wanted, servers, this::engine);
        int loading = (int) engines.values().stream()
                .filter(engine -> engine.pending() instanceof EngineOrder.LoadModel || engine.isBusy())
                .count();
        for (Server server : servers) {
            TrackedEngine engine = engine(server.id());
            if (!engine.takesOrders(tenure, now) || !covers(tenure, server, now)) {
                continue;
            }
            Optional<EngineOrder> order = neededOrder(wanted, server, engine.facts(), tenure);
            if (order.isEmpty() || !floor.allows(server)) {
                continue;
            }
            if (order.get() instanceof EngineOrder.LoadModel && loading++ >= rules.maxConcurrentLoads()) {
                continue;
            }
            engine.give(order.get());
            actions.add(new OrderAction.SendOrder(order.get()));
        }
    }

    private boolean covers(Tenure tenure, Server server, Duration now) {
        return server.checksFencing()
                ? tenure.coversFencedOrder(now)
                : tenure.coversUnfencedOrder(now, rules.maxOrderDuration());
    }

    private Optional<EngineOrder> neededOrder(Service wanted, Server server, EngineFacts facts, Tenure tenure) {
        if (!facts.model().equals(wanted.model().value()) || !facts.version().equals(wanted.version())) {
            return Optional.of(new EngineOrder.LoadModel(
                    nextId(tenure),
                    server.id(),
                    tenure.fencing(),
                    wanted.model().value(),
                    wanted.version()));
        }
        if (facts.role() != server.role()) {
            return Optional.of(
                    new EngineOrder.ChangeRole(nextId(tenure), server.id(), tenure.fencing(), server.role()));
        }
        return Optional.empty();
    }

    private String nextId(Tenure tenure) {
        return zone + "/" + service + "/" + tenure.fencing() + "/" + ++orderCount;
    }

    private TrackedEngine engine(ServerId server) {
        return engines.computeIfAbsent(server, id -> new TrackedEngine());
    }
}
