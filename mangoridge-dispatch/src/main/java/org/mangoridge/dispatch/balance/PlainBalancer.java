package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.limit.ServerRateLimiter;

/**
 * Chooses the server of a plain service for a request: the one with the lowest expected cost, mainly latency.
 *
 * <p>If all servers are ejected, all count as usable, so that a fault of a whole service does not make it
 * unreachable. If those that are not are at their limits, one that lost a single answer is used as well, and one that
 * is backed off because it rejected requests, unless it has rejected all of them for some time. A server that is paced
 * gets more than its pace permits only if no other can take the request.
 */
public final class PlainBalancer {

    /** Latency that is assumed of a server without a measured one. */
    private static final double DEFAULT_LATENCY_MILLIS = 20;
    /** Cost of an error share of 1, added as a multiple of the latency. */
    private static final double ERROR_FACTOR = 8;
    /** Cost factor of a server in another zone: cross-zone traffic costs more and may be cut off. */
    private static final double CROSS_ZONE_FACTOR = 1.3;
    /** Maximum requests in flight of a server, as a multiple of its slots. */
    private static final int MAX_IN_FLIGHT_PER_SLOT = 3;

    private final LoadTracker loads;
    private final ServerHealthTracker health;
    private final ServerView view;
    private final AvailabilityZone zone;
    private final RandomGenerator random;

    private PlainBalancer(LoadTracker loads, ServerView view, AvailabilityZone zone, RandomGenerator random) {
        this.loads = loads;
        this.health = view.health();
        this.view = view;
        this.zone = zone;
        this.random = random;
    }

    /** Creates the balancer of an instance in {@code zone}. */
    public static PlainBalancer create(
            LoadTracker loads,
            ServerHealthTracker health,
            ServerRateLimiter limiter,
            AvailabilityZone zone,
            RandomGenerator random) {
        return new PlainBalancer(loads, new ServerView.Deciding(health, limiter), zone, random);
    }

    /** Returns a balancer that chooses as this one would now, but for the random part of costs, and changes nothing. */
    public PlainBalancer preview() {
        return new PlainBalancer(loads, new ServerView.Previewing(health, view.limiter()), zone, () -> 0);
    }

    /**
     * Returns the server for a request; empty if none has capacity and may be sent one now.
     *
     * @param servers the service's servers that accept new requests
     * @param tried servers that were sent the request before; they are not chosen again
     */
    public Optional<ServerEntry> choose(List<ServerEntry> servers, Set<ServerId> tried, Duration now) {
        List<ServerEntry> open = servers.stream()
                .filter(server -> health.backOffRemaining(server, now).isZero())
                .toList();
        List<ServerEntry> usable =
                open.stream().filter(server -> health.isUsable(server, now)).toList();
        List<ServerEntry> candidates = usable.isEmpty() ? open : usable;
        Optional<ServerEntry> cheapest =
                cheapest(view.withinPace(candidates, now), tried, now).or(() -> cheapest(candidates, tried, now));
        boolean heldBack =
                open.size() < servers.size() || candidates.stream().anyMatch(server -> !view.permits(server, now));
        if (cheapest.isEmpty() && heldBack) {
            return cheapest(
                    servers.stream()
                            .filter(server -> health.isUsableInNeed(server, now))
                            .toList(),
                    tried,
                    now);
        }
        return cheapest;
    }

    private Optional<ServerEntry> cheapest(List<ServerEntry> candidates, Set<ServerId> tried, Duration now) {
        ServerEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (ServerEntry server : candidates) {
            if (tried.contains(server.id()) || !hasCapacity(server) || !view.permits(server, now)) {
                continue;
            }
            double jitter = 1 + random.nextDouble() * 0.05;
            double cost = cost(server, now).value() * jitter;
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the requests in flight for each slot of the service's servers; 1 if it has no servers. */
    public double occupancy(List<ServerEntry> servers) {
        int slots = servers.stream().mapToInt(ServerEntry::slots).sum();
        int busy = servers.stream()
                .mapToInt(server -> loads.total(server.id()).requests())
                .sum();
        return slots == 0 ? 1 : (double) busy / slots;
    }

    /** Tells whether a server has fewer requests in flight than it may have. */
    public boolean hasCapacity(ServerEntry server) {
        return loads.total(server.id()).requests() < server.slots() * MAX_IN_FLIGHT_PER_SLOT;
    }

    /** Returns the terms of the cost of a request at a server. */
    public PlainCost cost(ServerEntry server, Duration now) {
        int busy = loads.total(server.id()).requests();
        double measured = view.competingLatencyMillis(server, now);
        double millis = measured == 0 ? DEFAULT_LATENCY_MILLIS : measured;
        double queueing = Math.max(0, busy + 1 - server.slots()) / (double) server.slots();
        double crowding = 1 + queueing + 0.5 * busy / server.slots();
        double errors = 1 + ERROR_FACTOR * view.errorShare(server, now);
        double distance = server.zone().equals(zone) ? 1 : CROSS_ZONE_FACTOR;
        return new PlainCost(busy, millis, crowding, errors, distance);
    }
}
