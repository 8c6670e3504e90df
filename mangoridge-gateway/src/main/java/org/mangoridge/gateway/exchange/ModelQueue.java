package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.id.ServiceId;
import org.mangoridge.gateway.balance.AdmissionQueue;
import org.mangoridge.gateway.balance.AdmissionQueue.Waiter;
import org.mangoridge.gateway.balance.EnginePlacement;
import org.mangoridge.gateway.balance.RetryAfterPolicy;
import org.mangoridge.gateway.config.Route;

/** Requests that wait for room at model services; looks again whenever room may have come. */
final class ModelQueue {

    /** Requests that wait for one service at one instance; more would wait longer than callers do. */
    private static final int CAPACITY = 256;
    /** How often room is looked for while requests wait; peers' reports come about as often. */
    private static final Duration LOOK_INTERVAL = Duration.ofMillis(15);

    private final GatewayContext context;
    private final Map<ServiceId, AdmissionQueue<ModelExchange>> lines = new HashMap<>();
    private final RetryAfterPolicy returnTimes = RetryAfterPolicy.create();
    private boolean looking;
    private boolean placing;

    ModelQueue(GatewayContext context) {
        this.context = context;
    }

    /** Lets a request wait; false if too many do. */
    boolean offer(ServiceId service, ModelExchange exchange, Route route, ModelPatience patience) {
        AdmissionQueue<ModelExchange> line = lines.computeIfAbsent(service, id -> AdmissionQueue.create(CAPACITY));
        boolean taken = line.offer(new Waiter<>(
                exchange, route.priority(), patience.arrived(), patience.onTimeUntil(), patience.giveUpAt()));
        if (taken) {
            lookLater();
        }
        return taken;
    }

    /** Takes a request out, such as one whose caller has gone. */
    void remove(ServiceId service, ModelExchange exchange) {
        AdmissionQueue<ModelExchange> line = lines.get(service);
        if (line != null) {
            line.remove(exchange);
        }
    }

    /** Returns how many requests wait for a service. */
    int size(ServiceId service) {
        AdmissionQueue<ModelExchange> line = lines.get(service);
        return line == null ? 0 : line.size();
    }

    /** Returns what says when refused callers come back. */
    RetryAfterPolicy returnTimes() {
        return returnTimes;
    }

    /** Places the requests that there is room for. */
    void placeWaitingRequests() {
        if (placing || lines.values().stream().allMatch(line -> line.size() == 0)) {
            return;
        }
        placing = true;
        try {
            lines.values().forEach(this::placeFrom);
        } finally {
            placing = false;
        }
    }

    private void placeFrom(AdmissionQueue<ModelExchange> line) {
        Duration now = context.now();
        line.expire(now).forEach(waiter -> waiter.item().waitedInVain());
        for (Waiter<ModelExchange> waiter : line.inPlacementOrder(now)) {
            Optional<EnginePlacement> placement = waiter.item().placementNow();
            if (placement.isPresent() && line.remove(waiter.item())) {
                waiter.item().place(placement.get());
            }
        }
    }

    private void lookLater() {
        if (!looking) {
            looking = true;
            context.after(LOOK_INTERVAL, this::look);
        }
    }

    private void look() {
        looking = false;
        placeWaitingRequests();
        if (lines.values().stream().anyMatch(line -> line.size() > 0)) {
            lookLater();
        }
    }
}
