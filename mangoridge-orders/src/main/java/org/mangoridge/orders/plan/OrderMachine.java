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
 * State machine that brings the engines of one service in one availability zone to their configured state; used by one
 * thread.
 *
 * <p>It sends an order only while the tenure covers it, only to an engine whose state it has read in this tenure, and
 * only if at least as many engines keep serving as the service's serving floor requires.
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

    /** Returns a machine that has not read any engine's state. */
    public static OrderMachine create(AvailabilityZone zone, ServiceId service, OrderRules rules) {
        return new OrderMachine(
                Checks.notNull(zone, "zone"), Checks.notNull(service, "service"), Checks.notNull(rules, "rules"));
    }

    /** Tells whether no order is in progress, so that the lease may be released. */
    public boolean isIdle() {
        return engines.values().stream().allMatch(engine -> engine.pendingOrder() == null);
    }

    /** Handles an event and returns the actions to start. */
    public List<OrderAction> on(OrderEvent event, Duration now) {
        return switch (event) {
            case OrderEvent.Tick tick -> onTick(tick.deployment(), tick.tenure(), now);
            case OrderEvent.StateRead read -> {
                engine(read.server()).recordFacts(read.facts(), now);
                yield reportFencing(read.facts().lastFencing());
            }
            case OrderEvent.StateReadFailed failed -> {
                engine(failed.server()).forgetFacts();
                yield List.of();
            }
            case OrderEvent.OrderFinished finished -> onOrderFinished(finished, now);
        };
    }

    private List<OrderAction> onOrderFinished(OrderEvent.OrderFinished finished, Duration now) {
        TrackedEngine engine = engine(finished.order().server());
        if (!finished.order().equals(engine.pendingOrder())) {
            return List.of();
        }
        engine.finishOrder();
        return switch (finished.outcome()) {
            case OrderOutcome.Obeyed obeyed -> {
                engine.recordFacts(obeyed.facts(), now);
                yield List.of();
            }
            case OrderOutcome.OldFencing old -> reportFencing(old.seen());
            case OrderOutcome.Refused refused -> {
                engine.blockOrdersUntil(now.plus(rules.retryDelay()));
                yield List.of();
            }
            case OrderOutcome.Unknown unknown -> {
                engine.forgetFacts();
                engine.blockOrdersUntil(now.plus(rules.maxOrderDuration()));
                yield List.of();
            }
        };
    }

    private static List<OrderAction> reportFencing(long fencing) {
        return fencing > 0 ? List.of(new OrderAction.ReportFencing(fencing)) : List.of();
    }

    private List<OrderAction> onTick(Deployment deployment, Optional<Tenure> tenure, Duration now) {
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
            if (engine(server.id()).startReadIfDue(now, rules.readInterval())) {
                actions.add(new OrderAction.ReadState(server.id()));
            }
        }
        deployment
                .service(service)
                .ifPresent(configured -> sendOrders(configured, servers, tenure.get(), now, actions));
        return actions;
    }

    private void sendOrders(
            Service configured, List<Server> servers, Tenure tenure, Duration now, List<OrderAction> actions) {
        ServingFloor floor = new ServingFloor(configured, servers, this::engine);
        int loading = (int) engines.values().stream()
                .filter(engine -> engine.pendingOrder() instanceof EngineOrder.LoadModel || engine.isBusy())
                .count();
        for (Server server : servers) {
            TrackedEngine engine = engine(server.id());
            if (!engine.acceptsOrder(tenure, now) || !mayReceiveOrder(tenure, server, now)) {
                continue;
            }
            Optional<EngineOrder> order = neededOrder(configured, server, engine.facts(), tenure);
            if (order.isEmpty() || !floor.allows(server)) {
                continue;
            }
            if (order.get() instanceof EngineOrder.LoadModel && loading++ >= rules.maxConcurrentLoads()) {
                continue;
            }
            engine.startOrder(order.get());
            actions.add(new OrderAction.SendOrder(order.get()));
        }
    }

    private boolean mayReceiveOrder(Tenure tenure, Server server, Duration now) {
        return server.checksFencing()
                ? tenure.coversFencedOrder(now)
                : tenure.coversUnfencedOrder(now, rules.maxOrderDuration());
    }

    private Optional<EngineOrder> neededOrder(Service configured, Server server, EngineFacts facts, Tenure tenure) {
        if (!facts.model().equals(configured.model().value())
                || !facts.version().equals(configured.version())) {
            return Optional.of(new EngineOrder.LoadModel(
                    nextId(tenure),
                    server.id(),
                    tenure.fencing(),
                    configured.model().value(),
                    configured.version()));
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
