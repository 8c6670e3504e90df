package org.mangoridge.gateway.stage;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;
import org.mangoridge.orders.lease.Tenure;

/**
 * Decides when a stage order is sent, and which; a state machine without I/O, confined to one thread.
 *
 * <p>An order that was accepted or whose answer was lost is pending until the server has the stage, or until the order
 * can no longer arrive. A server gets no further order while one is pending.
 */
public final class StageOrderScheduler {

    /** How long an unanswered order may still arrive and take effect; the platform guarantees 12 s at most. */
    private static final Duration MAX_ORDER_DELAY = Duration.ofSeconds(13);
    /** Time without further orders to a server after it refused one, or needed none. */
    private static final Duration REFUSAL_COOLDOWN = Duration.ofSeconds(5);
    /** How long an order must be needed before it is sent; servers join and leave during a rollout. */
    private static final Duration STABILIZATION_WINDOW = Duration.ofMillis(2500);
    /** Number of servers that may always have a pending order; they serve no requests while they change. */
    private static final int MIN_PENDING_LIMIT = 2;
    /** Servers for each that may have a pending order, so that a large service gets its stages as soon as a small one. */
    private static final int SERVERS_PER_PENDING_ORDER = 8;

    private final InstanceId self;
    private final Duration takeoverDelay;
    private final Map<ServerId, Pending> pending = new HashMap<>();
    private boolean awaitingOutcome;
    private Duration neededSince;

    private record Pending(ServerStage to, Duration until) {}

    private StageOrderScheduler(InstanceId self, Duration takeoverDelay) {
        this.self = self;
        this.takeoverDelay = takeoverDelay;
    }

    /**
     * Creates a scheduler without pending orders.
     *
     * @param takeoverDelay how long a new holder of the lease waits, so that orders of two holders do not interleave at
     *     a server
     */
    public static StageOrderScheduler create(InstanceId self, Duration takeoverDelay) {
        return new StageOrderScheduler(self, takeoverDelay);
    }

    /** Tells whether an order is needed or pending, and thus the lease. */
    public boolean needsOrder(List<ServerEntry> servers, ToLongFunction<ServerEntry> load, Duration now) {
        boolean changeNeeded = change(servers, load, now).isPresent();
        boolean needed = changeNeeded || awaitingOutcome || !pending.isEmpty();
        if (!needed) {
            neededSince = null;
        } else if (neededSince == null) {
            neededSince = now;
        }
        return needed;
    }

    /** Returns the order to send now, if any; its outcome must be passed to {@link #recordOutcome}. */
    public Optional<StageOrder> nextOrder(
            List<ServerEntry> servers, ToLongFunction<ServerEntry> load, Optional<Tenure> tenure, Duration now) {
        if (tenure.isEmpty() || awaitingOutcome || pending.size() >= pendingLimit(servers) || neededSince == null) {
            return Optional.empty();
        }
        boolean takeoverDelayPassed = tenure.get().fencing().value() <= 1
                || now.compareTo(tenure.get().startedAt().plus(takeoverDelay)) >= 0;
        boolean stable = now.compareTo(neededSince.plus(STABILIZATION_WINDOW)) >= 0;
        if (!takeoverDelayPassed || !stable) {
            return Optional.empty();
        }
        Optional<StageOrder> order = change(servers, load, now)
                .map(change -> new StageOrder(
                        change.server(), change.to(), self, tenure.get().fencing()));
        awaitingOutcome = order.isPresent();
        return order;
    }

    private static int pendingLimit(List<ServerEntry> servers) {
        return Math.max(MIN_PENDING_LIMIT, servers.size() / SERVERS_PER_PENDING_ORDER);
    }

    /** Records the outcome of the order that {@link #nextOrder} returned last. */
    public void recordOutcome(StageOrder order, StageOrderOutcome outcome, Duration now) {
        awaitingOutcome = false;
        ServerId server = order.server().id();
        switch (outcome) {
            case ACCEPTED, UNKNOWN -> pending.put(server, new Pending(order.stage(), now.plus(MAX_ORDER_DELAY)));
            case ALREADY_SO -> pending.put(server, new Pending(order.stage(), now.plus(REFUSAL_COOLDOWN)));
            default -> pending.put(server, new Pending(order.server().stage(), now.plus(REFUSAL_COOLDOWN)));
        }
    }

    private Optional<StageChange> change(List<ServerEntry> servers, ToLongFunction<ServerEntry> load, Duration now) {
        removeCompleted(servers, now);
        List<ServerEntry> projected = servers.stream().map(this::projected).toList();
        return StageRebalancer.nextChange(projected, load)
                .filter(change -> !pending.containsKey(change.server().id()));
    }

    private void removeCompleted(List<ServerEntry> servers, Duration now) {
        Map<ServerId, ServerStage> stages = new HashMap<>();
        servers.forEach(server -> stages.put(server.id(), server.stage()));
        pending.entrySet().removeIf(each -> {
            ServerStage stage = stages.get(each.getKey());
            boolean done = stage == each.getValue().to();
            return stage == null || done || now.compareTo(each.getValue().until()) >= 0;
        });
    }

    private ServerEntry projected(ServerEntry server) {
        Pending ordered = pending.get(server.id());
        return ordered == null ? server : server.withStage(ordered.to());
    }
}
