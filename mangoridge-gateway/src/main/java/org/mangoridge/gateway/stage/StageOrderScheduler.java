package org.mangoridge.gateway.stage;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.directory.ServerStage;
import org.mangoridge.orders.lease.Tenure;

/**
 * Decides which order is given next, as a state machine used by one thread.
 *
 * <p>An order that was accepted or whose answer was lost counts as given until the server shows the stage, or until it
 * can no longer arrive. Only then is the server given another one.
 */
public final class StageOrderScheduler {

    /** How long an order without an answer may still arrive at a server, and be carried out (platform: 12 s). */
    private static final Duration LATEST_ARRIVAL = Duration.ofSeconds(13);
    /** Rest after an order that a server refused. */
    private static final Duration REFUSED_REST = Duration.ofSeconds(5);
    /** How long a wish must last before an order is given; servers come and go in a release. */
    private static final Duration STEADY = Duration.ofMillis(2500);
    /** Servers that change at the same time; they serve nobody meanwhile. */
    private static final int MOST_AT_ONCE = 2;

    private final InstanceId self;
    private final Duration turnRest;
    private final Map<ServerId, Pending> pending = new HashMap<>();
    private boolean inProgress;
    private Duration wantedSince;

    private record Pending(ServerStage to, Duration until) {}

    private StageOrderScheduler(InstanceId self, Duration turnRest) {
        this.self = self;
        this.turnRest = turnRest;
    }

    /**
     * Returns a keeper that has given no order.
     *
     * @param turnRest how long a new holder of the lease waits, so that orders of two holders don't mix at a server
     */
    public static StageOrderScheduler create(InstanceId self, Duration turnRest) {
        return new StageOrderScheduler(self, turnRest);
    }

    /** Tells whether an order is wanted, so that the lease is worth having. */
    public boolean wantsOrder(List<ServerEntry> servers, ToLongFunction<ServerEntry> load, Duration now) {
        boolean changeWanted = change(servers, load, now).isPresent();
        boolean wanted = changeWanted || inProgress || !pending.isEmpty();
        if (!wanted) {
            wantedSince = null;
        } else if (wantedSince == null) {
            wantedSince = now;
        }
        return wanted;
    }

    /** Returns the order to give now; it is answered with {@link #settled}. */
    public Optional<StageOrder> nextOrder(
            List<ServerEntry> servers, ToLongFunction<ServerEntry> load, Optional<Tenure> tenure, Duration now) {
        if (tenure.isEmpty() || inProgress || pending.size() >= MOST_AT_ONCE || wantedSince == null) {
            return Optional.empty();
        }
        boolean rested = tenure.get().fencing().value() <= 1
                || now.compareTo(tenure.get().began().plus(turnRest)) >= 0;
        boolean steady = now.compareTo(wantedSince.plus(STEADY)) >= 0;
        if (!rested || !steady) {
            return Optional.empty();
        }
        Optional<StageOrder> order = change(servers, load, now)
                .map(change -> new StageOrder(
                        change.server(), change.to(), self, tenure.get().fencing()));
        inProgress = order.isPresent();
        return order;
    }

    /** Takes what became of the order given last. */
    public void recordOutcome(StageOrder order, StageOrderOutcome outcome, Duration now) {
        inProgress = false;
        ServerId server = order.server().id();
        switch (outcome) {
            case ACCEPTED, UNKNOWN -> pending.put(server, new Pending(order.stage(), now.plus(LATEST_ARRIVAL)));
            case ALREADY_SO -> pending.put(server, new Pending(order.stage(), now.plus(REFUSED_REST)));
            default -> pending.put(server, new Pending(order.server().stage(), now.plus(REFUSED_REST)));
        }
    }

    private Optional<StageChange> change(List<ServerEntry> servers, ToLongFunction<ServerEntry> load, Duration now) {
        forgetDone(servers, now);
        List<ServerEntry> projected = servers.stream().map(this::projected).toList();
        return StageRebalancer.nextChange(projected, load)
                .filter(change -> !pending.containsKey(change.server().id()));
    }

    private void forgetDone(List<ServerEntry> servers, Duration now) {
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
