package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.gateway.directory.ServerEntry;

/**
 * Chooses the server of a plain service for a request: the one where it is likely to be done first.
 *
 * <p>If every server is left alone for its failures, all count as usable, so that a fault of a whole service never
 * closes it.
 */
public final class PlainBalancer {

    /** Time of an answer that is assumed of a server before one was seen. */
    private static final double ASSUMED_MILLIS = 20;
    /** How much a server with only failed answers is put back against a sound one. */
    private static final double ERROR_FACTOR = 8;
    /** How much a server in another zone is put back: traffic between zones costs and may be cut. */
    private static final double FAR_FACTOR = 1.3;
    /** Requests in progress beyond its slots that a server takes before the next one waits here, as a multiple. */
    private static final int QUEUE_FACTOR = 3;

    private final LoadTracker loads;
    private final ServerHealthTracker tracks;
    private final AvailabilityZone zone;
    private final RandomGenerator random;

    private PlainBalancer(
            LoadTracker loads, ServerHealthTracker tracks, AvailabilityZone zone, RandomGenerator random) {
        this.loads = loads;
        this.tracks = tracks;
        this.zone = zone;
        this.random = random;
    }

    /** Returns a balancer of an instance in {@code zone}. */
    public static PlainBalancer create(
            LoadTracker loads, ServerHealthTracker tracks, AvailabilityZone zone, RandomGenerator random) {
        return new PlainBalancer(loads, tracks, zone, random);
    }

    /**
     * Returns the server for a request; empty if none has room.
     *
     * @param servers the service's servers that take new work
     * @param tried servers that were sent the request before; taken only if there is no other
     */
    public Optional<ServerEntry> choose(List<ServerEntry> servers, Set<ServerId> tried, Duration now) {
        List<ServerEntry> sound = servers.stream()
                .filter(server -> tracks.isUsable(server.id(), now))
                .toList();
        List<ServerEntry> candidates = sound.isEmpty() ? servers : sound;
        ServerEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (ServerEntry server : candidates) {
            if (tried.contains(server.id()) || !hasRoom(server)) {
                continue;
            }
            double cost = cost(server, now);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns how full a service is: requests in progress for each slot of its servers. */
    public double occupancy(List<ServerEntry> servers) {
        int slots = servers.stream().mapToInt(ServerEntry::slots).sum();
        int busy = servers.stream()
                .mapToInt(server -> loads.total(server.id()).requests())
                .sum();
        return slots == 0 ? 1 : (double) busy / slots;
    }

    private boolean hasRoom(ServerEntry server) {
        return loads.total(server.id()).requests() < server.slots() * QUEUE_FACTOR;
    }

    private double cost(ServerEntry server, Duration now) {
        int busy = loads.total(server.id()).requests();
        double seen = tracks.meanLatencyMillis(server.id());
        double millis = seen == 0 ? ASSUMED_MILLIS : seen;
        double waiting = Math.max(0, busy + 1 - server.slots()) / (double) server.slots();
        double crowding = 1 + waiting + 0.5 * busy / server.slots();
        double errors = 1 + ERROR_FACTOR * tracks.errorShare(server.id(), now);
        double distance = server.zone().equals(zone) ? 1 : FAR_FACTOR;
        double jitter = 1 + random.nextDouble() * 0.05;
        return millis * crowding * errors * distance * jitter;
    }
}
