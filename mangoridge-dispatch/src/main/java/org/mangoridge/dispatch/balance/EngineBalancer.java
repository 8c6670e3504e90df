package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.balance.PlacementSpread.Candidate;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;
import org.mangoridge.dispatch.limit.ServerRateLimiter;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * Chooses the servers of a model request: the prefill and decode pair, or the single decode server, with the
 * earliest expected first token.
 *
 * <p>A request is placed only if a decode server has capacity for it; otherwise its prefill would be wasted. A decode
 * server runs the prefill itself only if that is much earlier, since it slows the requests in flight there.
 */
public final class EngineBalancer {

    /** Share of the KV cache by which a server in the local zone may be fuller than a remote one and be preferred. */
    private static final double CROSS_ZONE_KV_SHARE = 0.05;
    /** Fraction of a server that is filled; the rest absorbs placements by peers not yet reported here. */
    private static final double MAX_FILL = 0.95;
    /**
     * Fraction that requests fill which can't meet their latency target any more. Every instance has a queue of its
     * own, so that only room that stays free serves the requests of others which can still be on time.
     */
    private static final double MAX_LATE_FILL = 0.8;
    /** The same while all servers together are fuller than {@link #HIGH_FILL}: room that frees up is needed soon. */
    private static final double MAX_LATE_FILL_UNDER_LOAD = 0.55;

    private static final double HIGH_FILL = 0.7;
    /** How much later than a direct placement a split one may be and still be preferred. */
    private static final double DIRECT_PENALTY_MILLIS = 250;
    /** How much later a placement within one zone may be and still be preferred: cross-zone transfers cost twice. */
    private static final double CROSS_ZONE_PENALTY_MILLIS = 60;
    /** Penalty for a server all of whose answers failed; applied in proportion to the error share. */
    private static final double ERROR_PENALTY_MILLIS = 1500;
    /** Time from the end of prefill to the first token: KV cache transfer and first decode step. */
    private static final double KV_HANDOVER_MILLIS = 60;
    /** Penalty for a full server; applied in proportion to the fuller of its slots and its KV cache. */
    private static final double FULL_BATCH_PENALTY_MILLIS = 150;
    /** Least increase of a decode server's cost by a request: the peak of its KV cache falls if growths even out. */
    private static final double MIN_INCREMENT_MILLIS = 0.1;
    /** Time between two events of a stream while its server runs no prefill. */
    private static final double EVENT_INTERVAL_MILLIS = 60;
    /** Fraction of the maximum event gap that a direct prefill may use. */
    private static final double MAX_GAP_FRACTION = 0.8;
    /** Prefills that one decode server runs at a time without a penalty; more would stall its streams. */
    private static final int MAX_DIRECT_PREFILLS = 2;

    private final LoadTracker loads;
    private final ServerHealthTracker health;
    private final ServerView view;
    private final PrefillTimeEstimator prefillTimes;
    private final AvailabilityZone zone;
    private final RandomGenerator random;

    private EngineBalancer(
            LoadTracker loads,
            ServerView view,
            PrefillTimeEstimator prefillTimes,
            AvailabilityZone zone,
            RandomGenerator random) {
        this.loads = loads;
        this.health = view.health();
        this.view = view;
        this.prefillTimes = prefillTimes;
        this.zone = zone;
        this.random = random;
    }

    /**
     * Creates the balancer of an instance in {@code zone}.
     *
     * @param random spreads the choices of a large fleet
     */
    public static EngineBalancer create(
            LoadTracker loads,
            ServerHealthTracker health,
            ServerRateLimiter limiter,
            PrefillTimeEstimator prefillTimes,
            AvailabilityZone zone,
            RandomGenerator random) {
        return new EngineBalancer(loads, new ServerView.Deciding(health, limiter), prefillTimes, zone, random);
    }

    /** Returns a balancer that chooses as this one would now, but for choices that are drawn, and changes nothing. */
    public EngineBalancer preview() {
        return new EngineBalancer(
                loads, new ServerView.Previewing(health, view.limiter()), prefillTimes, zone, () -> 0);
    }

    /** Returns the time from the end of a prefill elsewhere to the first token, at a server of nominal speed. */
    public static Duration handoverTime() {
        return millis(KV_HANDOVER_MILLIS);
    }

    private record Choice(EnginePlacement placement, double cost, double millis) {}

    /**
     * Returns the placement of a request.
     *
     * @param servers the service's servers that accept new requests
     * @param avoid servers that failed or rejected this request before
     * @param target what the placement must meet; if none does, the result is {@link EnginePlacement.NoCapacity}
     */
    public EnginePlacement choose(
            List<ServerEntry> servers,
            EngineSpec spec,
            TokenDemand demand,
            Set<ServerId> avoid,
            PlacementTarget target,
            Duration now) {
        List<ServerEntry> sound = healthy(servers, avoid, now);
        List<ServerEntry> paced = view.withinPace(sound, now);
        EnginePlacement placement = place(paced, spec, demand, target, now);
        boolean inNeed = placement instanceof EnginePlacement.NoCapacity && paced.size() < sound.size();
        return inNeed ? place(sound, spec, demand, target, now) : placement;
    }

    private EnginePlacement place(
            List<ServerEntry> sound, EngineSpec spec, TokenDemand demand, PlacementTarget target, Duration now) {
        double maxFill =
                switch (target.lateness()) {
                    case ON_TIME -> MAX_FILL;
                    case LATE -> maxLateFill(sound, spec);
                    case ENDING -> MAX_LATE_FILL;
                };
        List<ServerEntry> prefillServers = sound.stream()
                .filter(server -> server.stage() == ServerStage.PREFILL)
                .toList();
        List<ServerEntry> decodeServers = sound.stream()
                .filter(server ->
                        server.stage() != ServerStage.PREFILL && hasDecodeCapacity(server, spec, demand, maxFill, now))
                .toList();
        List<ServerEntry> directServers = decodeServers.stream()
                .filter(server ->
                        prefillServers.isEmpty() || !wouldStallStreams(server, demand, target.maxEventGap(), now))
                .toList();
        Choice best = null;
        for (ServerEntry decode : directServers) {
            best = cheaper(best, direct(decode, spec, demand, now));
        }
        Collection<ServerEntry> decodeCandidates = cheapestPerZone(
                decodeServers, server -> decodeCost(server, spec, now).value());
        List<ServerEntry> freePrefillServers = prefillServers.stream()
                .filter(server -> hasPrefillCapacity(server, spec, demand))
                .toList();
        Collection<ServerEntry> prefillCandidates = cheapestPerZone(
                freePrefillServers, server -> prefillCost(server, demand, now).value());
        for (ServerEntry decode : decodeCandidates) {
            for (ServerEntry prefill : prefillCandidates) {
                best = cheaper(best, split(prefill, decode, spec, demand, now));
            }
        }
        if (best == null) {
            return new EnginePlacement.NoCapacity(Duration.ofMillis(-1));
        }
        if (!isSoonEnough(best, target)) {
            return new EnginePlacement.NoCapacity(millis(best.millis()));
        }
        if (unreported(decodeServers, now) < 1) {
            return best.placement();
        }
        Choice spread = best.placement() instanceof EnginePlacement.Split
                ? spreadSplit(freePrefillServers, decodeServers, spec, demand, maxFill, now)
                : spreadDirect(directServers, spec, demand, maxFill, now);
        return (isSoonEnough(spread, target) ? spread : best).placement();
    }

    /** Returns how many requests peers are expected to have placed on the servers and not reported yet. */
    private double unreported(List<ServerEntry> servers, Duration now) {
        return servers.stream()
                .mapToDouble(server -> loads.unreportedRequests(server.id(), now))
                .sum();
    }

    private static boolean isSoonEnough(Choice choice, PlacementTarget target) {
        return millis(choice.millis()).compareTo(target.firstToken()) <= 0;
    }

    /** Returns a pair of servers, each spread over those that unreported requests may have made the cheapest. */
    private Choice spreadSplit(
            List<ServerEntry> prefillServers,
            List<ServerEntry> decodeServers,
            EngineSpec spec,
            TokenDemand demand,
            double maxFill,
            Duration now) {
        ServerEntry decode = spread(
                decodeServers,
                server -> new Candidate(
                        server,
                        decodeCost(server, spec, now).value(),
                        decodeIncrement(server, spec, demand),
                        room(server, spec, demand, maxFill)),
                now);
        ServerEntry prefill = spread(
                prefillServers,
                server -> new Candidate(
                        server,
                        prefillCost(server, demand, now).value() + crossZoneMillis(server, decode),
                        prefillTimes.prefillMillis(server.id(), demand.prompt(), now),
                        server.slots() - loads.total(server.id()).requests()),
                now);
        return split(prefill, decode, spec, demand, now);
    }

    private Choice spreadDirect(
            List<ServerEntry> servers, EngineSpec spec, TokenDemand demand, double maxFill, Duration now) {
        ServerEntry decode = spread(
                servers,
                server -> new Candidate(
                        server,
                        direct(server, spec, demand, now).cost(),
                        prefillTimes.directPrefillMillis(server.id(), demand.prompt(), now)
                                + decodeIncrement(server, spec, demand),
                        room(server, spec, demand, maxFill)),
                now);
        return direct(decode, spec, demand, now);
    }

    private ServerEntry spread(List<ServerEntry> servers, Function<ServerEntry, Candidate> candidate, Duration now) {
        return PlacementSpread.choose(servers.stream().map(candidate).toList(), 1 + unreported(servers, now), random);
    }

    private double decodeIncrement(ServerEntry decode, EngineSpec spec, TokenDemand demand) {
        ServerLoad load = loads.total(decode.id());
        double after = batchPenalty(load.plus(ServerLoad.ofDecode(demand, spec, 0)), decode, spec);
        return Math.max(MIN_INCREMENT_MILLIS, after - batchPenalty(load, decode, spec));
    }

    /** Returns how many requests like this one a decode server with capacity for it takes; at least one. */
    private double room(ServerEntry decode, EngineSpec spec, TokenDemand demand, double maxFill) {
        ServerLoad load = loads.total(decode.id());
        ServerLoad added = ServerLoad.ofDecode(demand, spec, 0);
        double slots = decode.slots() * maxFill - load.requests();
        double cache = (spec.kvCapacity() * maxFill - load.peakKvTokens()) / Math.max(1, added.peakKvTokens());
        return Math.max(1, Math.min(slots, cache));
    }

    /**
     * Returns the decode server with the most free KV cache for a request whose prefill is done; empty if none has
     * capacity.
     *
     * @param avoid servers that failed or rejected this request before
     */
    public Optional<ServerEntry> chooseDecode(
            List<ServerEntry> servers, EngineSpec spec, TokenDemand demand, Set<ServerId> avoid, Duration now) {
        List<ServerEntry> sound = healthy(servers, avoid, now);
        return freestDecode(view.withinPace(sound, now), spec, demand, now)
                .or(() -> freestDecode(sound, spec, demand, now));
    }

    private Optional<ServerEntry> freestDecode(
            List<ServerEntry> sound, EngineSpec spec, TokenDemand demand, Duration now) {
        return sound.stream()
                .filter(server ->
                        server.stage() != ServerStage.PREFILL && hasDecodeCapacity(server, spec, demand, MAX_FILL, now))
                .min(Comparator.comparingDouble(server -> kvShare(server, spec) + CROSS_ZONE_KV_SHARE * far(server)));
    }

    /**
     * Returns the used KV cache as a ratio to the free one: the less is free, the more likely one request with a wrong
     * estimate preempts another.
     */
    private static double fullness(double kvShare) {
        return kvShare / Math.max(1 - MAX_FILL, 1 - kvShare);
    }

    /** Returns the share of a server's KV cache that its requests are expected to fill at their peak. */
    private double kvShare(ServerEntry server, EngineSpec spec) {
        return loads.total(server.id()).peakKvTokens() / spec.kvCapacity();
    }

    /** Returns the fraction that late requests fill: an answer that is late anyway must not make another one late. */
    private double maxLateFill(List<ServerEntry> servers, EngineSpec spec) {
        double fill = servers.stream()
                .filter(server -> server.stage() != ServerStage.PREFILL)
                .mapToDouble(server ->
                        Math.max((double) loads.total(server.id()).requests() / server.slots(), kvShare(server, spec)))
                .average()
                .orElse(0);
        return fill > HIGH_FILL ? MAX_LATE_FILL_UNDER_LOAD : MAX_LATE_FILL;
    }

    private int far(ServerEntry server) {
        return server.zone().equals(zone) ? 0 : 1;
    }

    /**
     * Returns the servers that are not ejected and may be sent a request; ejected ones too if there is no other decode
     * server, but not because the others are at their limits.
     */
    private List<ServerEntry> healthy(List<ServerEntry> servers, Set<ServerId> avoid, Duration now) {
        List<ServerEntry> sound = servers.stream()
                .filter(server -> health.isUsable(server, now) && !avoid.contains(server.id()))
                .toList();
        boolean canDecode = sound.stream().anyMatch(server -> server.stage() != ServerStage.PREFILL);
        return (canDecode ? sound : servers)
                .stream()
                        .filter(server -> !avoid.contains(server.id()) && view.permits(server, now))
                        .toList();
    }

    private static Choice cheaper(Choice one, Choice other) {
        return one == null || (other != null && other.cost() < one.cost()) ? other : one;
    }

    private Choice direct(ServerEntry decode, EngineSpec spec, TokenDemand demand, Duration now) {
        ServerLoad load = loads.total(decode.id());
        double prefillMillis =
                prefillTimes.directPrefillMillis(decode.id(), load.prefillTokens() + demand.prompt(), now);
        double queuedPrefills = load.prefillTokens() / (double) Math.max(1, demand.prompt());
        double stallPenalty = queuedPrefills >= MAX_DIRECT_PREFILLS ? DIRECT_PENALTY_MILLIS * queuedPrefills : 0;
        double cost = prefillMillis
                + DIRECT_PENALTY_MILLIS
                + stallPenalty
                + decodeCost(decode, spec, now).value();
        return new Choice(new EnginePlacement.Direct(decode, millis(prefillMillis)), cost, prefillMillis);
    }

    /** Tells whether running the prefill on a decode server would stall its streams for too long. */
    private boolean wouldStallStreams(ServerEntry decode, TokenDemand demand, Duration maxEventGap, Duration now) {
        ServerLoad load = loads.total(decode.id());
        if (maxEventGap.isZero() || load.requests() == 0) {
            return false;
        }
        double gapMillis = prefillTimes.directPrefillMillis(decode.id(), load.prefillTokens() + demand.prompt(), now)
                + EVENT_INTERVAL_MILLIS;
        return gapMillis > maxEventGap.toMillis() * MAX_GAP_FRACTION;
    }

    /**
     * Returns the cheapest server of each zone. Apart from the cross-zone penalty, the cost of a pair is the sum of the
     * costs of its servers, so the cheapest pair consists of these servers.
     */
    private static Collection<ServerEntry> cheapestPerZone(
            List<ServerEntry> servers, ToDoubleFunction<ServerEntry> cost) {
        Map<AvailabilityZone, ServerEntry> best = new HashMap<>();
        Map<AvailabilityZone, Double> costs = new HashMap<>();
        for (ServerEntry server : servers) {
            double own = cost.applyAsDouble(server);
            Double known = costs.get(server.zone());
            if (known == null || own < known) {
                best.put(server.zone(), server);
                costs.put(server.zone(), own);
            }
        }
        return best.values();
    }

    /** Returns the terms of the cost of a prefill at a prefill server. */
    public PrefillCost prefillCost(ServerEntry prefill, TokenDemand demand, Duration now) {
        return new PrefillCost(
                firstTokenMillis(prefill, demand, now), ERROR_PENALTY_MILLIS * view.errorShare(prefill, now));
    }

    private double firstTokenMillis(ServerEntry prefill, TokenDemand demand, Duration now) {
        long tokens = loads.total(prefill.id()).prefillTokens() + demand.prompt();
        return prefillTimes.prefillMillis(prefill.id(), tokens, now) + KV_HANDOVER_MILLIS;
    }

    private Choice split(ServerEntry prefill, ServerEntry decode, EngineSpec spec, TokenDemand demand, Duration now) {
        double first = firstTokenMillis(prefill, demand, now);
        double cost = prefillCost(prefill, demand, now).value()
                + crossZoneMillis(prefill, decode)
                + decodeCost(decode, spec, now).value();
        return new Choice(new EnginePlacement.Split(prefill, decode, millis(first)), cost, first);
    }

    private static double crossZoneMillis(ServerEntry prefill, ServerEntry decode) {
        return prefill.zone().equals(decode.zone()) ? 0 : CROSS_ZONE_PENALTY_MILLIS;
    }

    private static double batchPenalty(ServerLoad load, ServerEntry decode, EngineSpec spec) {
        double slotShare = (double) load.requests() / decode.slots();
        return FULL_BATCH_PENALTY_MILLIS * Math.max(slotShare, fullness(load.peakKvTokens() / spec.kvCapacity()));
    }

    /** Returns the terms of the cost of decoding at a server. */
    public DecodeCost decodeCost(ServerEntry decode, EngineSpec spec, Duration now) {
        double batchPenalty = batchPenalty(loads.total(decode.id()), decode, spec);
        double errors = ERROR_PENALTY_MILLIS * view.errorShare(decode, now);
        double slow = FULL_BATCH_PENALTY_MILLIS * Math.max(0, prefillTimes.slowdown(decode.id(), now) - 1);
        double far = decode.zone().equals(zone) ? 0 : CROSS_ZONE_PENALTY_MILLIS / 6;
        return new DecodeCost(batchPenalty, errors, slow, far);
    }

    private boolean hasDecodeCapacity(
            ServerEntry server, EngineSpec spec, TokenDemand demand, double maxFill, Duration now) {
        ServerLoad load = loads.total(server.id());
        return !loads.isFull(server.id(), now)
                && load.requests() < server.slots() * maxFill
                && fits(load, ServerLoad.ofDecode(demand, spec, 0), spec, maxFill);
    }

    /** A server without requests takes any that its KV cache can hold; otherwise the largest would never be placed. */
    private static boolean fits(ServerLoad load, ServerLoad added, EngineSpec spec, double maxFill) {
        return load.kvTokens() == 0
                ? added.kvTokens() <= spec.kvCapacity()
                : load.plus(added).peakKvTokens() <= spec.kvCapacity() * maxFill;
    }

    /** Tells whether a server has capacity for its stage of a request that can be on time. */
    public boolean hasCapacity(ServerEntry server, EngineSpec spec, TokenDemand demand, Duration now) {
        return server.stage() == ServerStage.PREFILL
                ? hasPrefillCapacity(server, spec, demand)
                : hasDecodeCapacity(server, spec, demand, MAX_FILL, now);
    }

    private boolean hasPrefillCapacity(ServerEntry server, EngineSpec spec, TokenDemand demand) {
        ServerLoad load = loads.total(server.id());
        return load.requests() < server.slots() && load.kvTokens() + demand.prompt() <= spec.kvCapacity() * MAX_FILL;
    }

    private static Duration millis(double value) {
        return Duration.ofNanos((long) (value * 1e6));
    }
}
