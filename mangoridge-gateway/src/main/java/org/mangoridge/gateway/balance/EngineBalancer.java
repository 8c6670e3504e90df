package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.gateway.config.EngineSpec;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.directory.ServerStage;
import org.mangoridge.gateway.request.TokenDemand;

/**
 * Chooses the servers of a model request: the pair, or the single decode server, with the earliest first token.
 *
 * <p>Room at the decode server comes first, since a prompt that was read for nothing is wasted. A decode server reads a
 * prompt itself only if that is much earlier, since it slows the requests that it already has.
 */
public final class EngineBalancer {

    /** How much fuller a server in the own zone may be and still be taken. */
    private static final double FAR_TOKENS = 2000;
    /** The part of a server's KV cache that is filled; the rest takes up requests that peers place unseen. */
    private static final double FILL = 0.95;
    /** How much later than a direct one a split placement may be and still be taken. */
    private static final double DIRECT_PENALTY_MILLIS = 250;
    /** How much later a placement within one zone may be and still be taken: transfers between zones cost twice. */
    private static final double FAR_PENALTY_MILLIS = 60;
    /** The penalty for a server of which nothing but failed answers was seen. */
    private static final double ERROR_PENALTY_MILLIS = 1500;
    /** Time from the end of prefill to the first token: transfer and first step. */
    private static final double HAND_OVER_MILLIS = 60;
    /** The penalty for a full batch; a share of it applies in proportion, as every request slows the others. */
    private static final double CROWD_PENALTY_MILLIS = 150;
    /** Time between two events of a stream whose server reads no prompt. */
    private static final double EVENT_MILLIS = 60;
    /** The part of the longest pause that reading a prompt may use. */
    private static final double PAUSE_USED = 0.8;
    /** Prompts that one decode server reads itself at a time; more would stall the streams that it has. */
    private static final int DIRECT_AT_ONCE = 2;

    private final LoadTracker loads;
    private final ServerHealthTracker tracks;
    private final PrefillTimeEstimator pace;
    private final AvailabilityZone zone;

    private EngineBalancer(
            LoadTracker loads, ServerHealthTracker tracks, PrefillTimeEstimator pace, AvailabilityZone zone) {
        this.loads = loads;
        this.tracks = tracks;
        this.pace = pace;
        this.zone = zone;
    }

    /** Returns a balancer of an instance in {@code zone}. */
    public static EngineBalancer create(
            LoadTracker loads, ServerHealthTracker tracks, PrefillTimeEstimator pace, AvailabilityZone zone) {
        return new EngineBalancer(loads, tracks, pace, zone);
    }

    private record Choice(EnginePlacement placement, double cost, double millis) {}

    /**
     * Returns the placement of a request.
     *
     * @param servers the service's servers that take new work
     * @param avoid servers that failed or rejected the request before
     * @param longestPause the longest pause in the streams of a server that is on time; zero if there is no target
     * @param within how long the first token may take for the placement to be worth it
     */
    public EnginePlacement choose(
            List<ServerEntry> servers,
            EngineSpec spec,
            TokenDemand demand,
            Set<ServerId> avoid,
            Duration within,
            Duration longestPause,
            Duration now) {
        List<ServerEntry> sound = soundOf(servers, avoid, now);
        List<ServerEntry> readers = sound.stream()
                .filter(server -> server.stage() == ServerStage.PREFILL)
                .toList();
        List<ServerEntry> generators = sound.stream()
                .filter(server -> server.stage() != ServerStage.PREFILL && hasDecodeRoom(server, spec, demand, now))
                .toList();
        Choice best = null;
        for (ServerEntry decode : generators) {
            if (readers.isEmpty() || !wouldStall(decode, demand, longestPause, now)) {
                best = better(best, direct(decode, demand, now));
            }
        }
        Collection<ServerEntry> decodes = bestOfZones(generators, server -> decodeCost(server, now));
        Collection<ServerEntry> prefills = bestOfZones(
                readers.stream()
                        .filter(server -> hasPrefillRoom(server, spec, demand))
                        .toList(),
                server -> prefillCost(server, demand, now));
        for (ServerEntry decode : decodes) {
            for (ServerEntry prefill : prefills) {
                best = better(best, split(prefill, decode, demand, now));
            }
        }
        if (best == null) {
            return new EnginePlacement.NoCapacity(Duration.ofMillis(-1));
        }
        Duration expected = millis(best.millis());
        return expected.compareTo(within) <= 0 ? best.placement() : new EnginePlacement.NoCapacity(expected);
    }

    /**
     * Returns the decode server that has most room for a prompt that is read already; empty if none has room.
     *
     * @param avoid servers that failed or rejected the request before
     */
    public Optional<ServerEntry> chooseDecode(
            List<ServerEntry> servers, EngineSpec spec, TokenDemand demand, Set<ServerId> avoid, Duration now) {
        return soundOf(servers, avoid, now).stream()
                .filter(server -> server.stage() != ServerStage.PREFILL && hasDecodeRoom(server, spec, demand, now))
                .min(Comparator.comparingDouble(
                        server -> loads.total(server.id()).kvTokens() + FAR_TOKENS * far(server)));
    }

    private int far(ServerEntry server) {
        return server.zone().equals(zone) ? 0 : 1;
    }

    private List<ServerEntry> soundOf(List<ServerEntry> servers, Set<ServerId> avoid, Duration now) {
        List<ServerEntry> sound = servers.stream()
                .filter(server -> tracks.isUsable(server.id(), now) && !avoid.contains(server.id()))
                .toList();
        boolean canDecode = sound.stream().anyMatch(server -> server.stage() != ServerStage.PREFILL);
        return canDecode
                ? sound
                : servers.stream()
                        .filter(server -> !avoid.contains(server.id()))
                        .toList();
    }

    private static Choice better(Choice one, Choice other) {
        return one == null || (other != null && other.cost() < one.cost()) ? other : one;
    }

    private Choice direct(ServerEntry decode, TokenDemand demand, Duration now) {
        ServerLoad load = loads.total(decode.id());
        double reading = pace.directPrefillMillis(decode.id(), load.prefillTokens() + demand.prompt(), now);
        double reads = load.prefillTokens() / (double) Math.max(1, demand.prompt());
        double stalled = reads >= DIRECT_AT_ONCE ? DIRECT_PENALTY_MILLIS * reads : 0;
        double cost = reading + DIRECT_PENALTY_MILLIS + stalled + decodeCost(decode, now);
        return new Choice(new EnginePlacement.Direct(decode, millis(reading)), cost, reading);
    }

    /** Tells whether the streams that a server has would pause for too long if it read the prompt between their tokens. */
    private boolean wouldStall(ServerEntry decode, TokenDemand demand, Duration longestPause, Duration now) {
        ServerLoad load = loads.total(decode.id());
        if (longestPause.isZero() || load.requests() == 0) {
            return false;
        }
        double pause =
                pace.directPrefillMillis(decode.id(), load.prefillTokens() + demand.prompt(), now) + EVENT_MILLIS;
        return pause > longestPause.toMillis() * PAUSE_USED;
    }

    /**
     * Returns the best server of each zone. The cost of a pair is the sum of its servers' costs but for links between
     * zones, so that the best pair is among these.
     */
    private static Collection<ServerEntry> bestOfZones(List<ServerEntry> servers, ToDoubleFunction<ServerEntry> cost) {
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

    private double prefillCost(ServerEntry prefill, TokenDemand demand, Duration now) {
        return readMillis(prefill, demand, now) + ERROR_PENALTY_MILLIS * tracks.errorShare(prefill.id(), now);
    }

    private double readMillis(ServerEntry prefill, TokenDemand demand, Duration now) {
        long tokens = loads.total(prefill.id()).prefillTokens() + demand.prompt();
        return pace.prefillMillis(prefill.id(), tokens, now) + HAND_OVER_MILLIS;
    }

    private Choice split(ServerEntry prefill, ServerEntry decode, TokenDemand demand, Duration now) {
        double first = readMillis(prefill, demand, now);
        double far = prefill.zone().equals(decode.zone()) ? 0 : FAR_PENALTY_MILLIS;
        double cost = prefillCost(prefill, demand, now) + far + decodeCost(decode, now);
        return new Choice(new EnginePlacement.Split(prefill, decode, millis(first)), cost, first);
    }

    private double decodeCost(ServerEntry decode, Duration now) {
        double crowd = CROWD_PENALTY_MILLIS * loads.total(decode.id()).requests() / decode.slots();
        double errors = ERROR_PENALTY_MILLIS * tracks.errorShare(decode.id(), now);
        double slow = CROWD_PENALTY_MILLIS * Math.max(0, pace.slowdown(decode.id(), now) - 1);
        double far = decode.zone().equals(zone) ? 0 : FAR_PENALTY_MILLIS / 6;
        return crowd + errors + slow + far;
    }

    private boolean hasDecodeRoom(ServerEntry server, EngineSpec spec, TokenDemand demand, Duration now) {
        ServerLoad load = loads.total(server.id());
        return !loads.isFull(server.id(), now)
                && load.requests() < server.slots()
                && load.kvTokens() + demand.estimatedKvTokens(0) <= spec.kvCapacity() * FILL;
    }

    private boolean hasPrefillRoom(ServerEntry server, EngineSpec spec, TokenDemand demand) {
        ServerLoad load = loads.total(server.id());
        return load.requests() < server.slots() && load.kvTokens() + demand.prompt() <= spec.kvCapacity() * FILL;
    }

    private static Duration millis(double value) {
        return Duration.ofNanos((long) (value * 1e6));
    }
}
