package org.mangoridge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;

/**
 * Finds the servers for a request by planning prefill, transfer and decode together.
 *
 * <p>The best prefill and the best decode server of each availability zone are paired, so that the cost of a search is
 * linear in the number of servers.
 */
final class PlacementSearch {

    private static final double FIRST_TOKEN_OVERHEAD_SECONDS = 0.008;

    // Penalties that rank candidates; the forecast of the first token doesn't include them.
    private static final double REMOTE_ZONE_COST_SECONDS = 0.02;
    private static final double CROSS_ZONE_TRANSFER_COST_SECONDS = 0.01;
    private static final double FULL_SERVER_COST_SECONDS = 0.05;
    private static final double MAX_JITTER_SECONDS = 0.004;

    /** A local prefill slows down the streams that decode on the same server. */
    private static final double LOCAL_PREFILL_COST_SECONDS_PER_STREAM = 0.02;

    /**
     * The request to place and the limits to meet.
     *
     * @param facts the request
     * @param tokens the tokens whose KV cache has to fit into memory
     * @param promptTokens the tokens to compute KV cache for
     * @param excluded servers that must not be chosen
     * @param reservedSlots the slots of each server that must stay free
     * @param prefillWaitLimitSeconds the longest wait for a prefill to begin
     * @param firstTokenLimitSeconds the longest time to the first token
     * @param tokenLimitSeconds the longest time between tokens
     */
    record Query(
            RequestFacts facts,
            int tokens,
            int promptTokens,
            List<ServerId> excluded,
            int reservedSlots,
            double prefillWaitLimitSeconds,
            double firstTokenLimitSeconds,
            double tokenLimitSeconds) {}

    /** The result of a search. */
    sealed interface Result {}

    /** A placement that meets the limits. */
    record Placed(Candidate candidate) implements Result {}

    /** The service has no available prefill or decode server. */
    record NoServer() implements Result {}

    /** No decode server has capacity, or no prefill server can begin within the wait limit. */
    record NoCapacity() implements Result {}

    /** No placement meets the latency limits; {@code best} has the lowest cost. */
    record TargetMissed(Candidate best) implements Result {}

    private record PrefillChoice(ServerState server, double waitSeconds, double seconds, int tokens, double cost) {}

    private record DecodeChoice(
            ServerState server, double linkWaitSeconds, double transferSeconds, double tokenSeconds, double cost) {}

    private final AvailabilityZone ownZone;
    private final RandomGenerator random;

    PlacementSearch(AvailabilityZone ownZone, RandomGenerator random) {
        this.ownZone = ownZone;
        this.random = random;
    }

    /** Searches among available servers; {@code prefill} and {@code decode} may have servers in common. */
    Result search(Query query, List<ServerState> prefill, List<ServerState> decode, long nowNanos) {
        if (prefill.isEmpty() || decode.isEmpty()) {
            return new NoServer();
        }
        List<DecodeChoice> decodeByZone = new ArrayList<>();
        Candidate local = null;
        for (ServerState server : decode) {
            if (!hasCapacity(server, query, nowNanos)) {
                continue;
            }
            DecodeChoice choice = evaluateDecode(server, query, nowNanos);
            keepBest(decodeByZone, choice);
            if (server.server().role().prefills()) {
                local = preferred(local, localCandidate(choice, query, nowNanos), query);
            }
        }
        if (decodeByZone.isEmpty()) {
            return new NoCapacity();
        }
        List<PrefillChoice> prefillByZone = new ArrayList<>();
        for (ServerState server : prefill) {
            if (query.excluded().contains(server.id())) {
                continue;
            }
            PrefillChoice choice = evaluatePrefill(server, query, nowNanos);
            if (choice.waitSeconds() <= query.prefillWaitLimitSeconds()) {
                keepBest(prefillByZone, choice);
            }
        }
        Candidate best = local;
        for (DecodeChoice to : decodeByZone) {
            for (PrefillChoice from : prefillByZone) {
                if (from.server() != to.server()) {
                    best = preferred(best, pair(from, to), query);
                }
            }
        }
        if (best == null) {
            return new NoCapacity();
        }
        return meetsLimits(best, query) ? new Placed(best) : new TargetMissed(best);
    }

    private static boolean hasCapacity(ServerState server, Query query, long nowNanos) {
        if (query.excluded().contains(server.id())) {
            return false;
        }
        LoadEstimate estimate = server.estimate();
        ServerLoad load = estimate.lastReport();
        double slowStartSlots = load.slots() * (1 - server.health().slowStartShare(nowNanos));
        return estimate.freeSlots() - slowStartSlots - query.reservedSlots() >= 1
                && estimate.freePieces() >= requiredPieces(load, query.tokens());
    }

    /** Returns the number of memory pieces that {@code tokens} occupy. */
    static int requiredPieces(ServerLoad load, int tokens) {
        return Math.max(1, (tokens + load.pieceTokens() - 1) / load.pieceTokens());
    }

    private PrefillChoice evaluatePrefill(ServerState server, Query query, long nowNanos) {
        int cached = server.prefixes().cachedTokens(query.facts().prefixes(), nowNanos);
        int tokens = Math.max(1, query.promptTokens() - cached);
        double secondsPerToken = server.prefillCalibration().ratio(nowNanos)
                / Math.max(1, server.estimate().lastReport().prefillTokensPerSecond());
        double wait = server.estimate().queuedPrefillTokens(nowNanos) * secondsPerToken;
        double seconds = wait + tokens * secondsPerToken;
        double slowStartFactor = 1 / server.health().slowStartShare(nowNanos);
        double cost = seconds * slowStartFactor + zoneCost(server) + random.nextDouble() * MAX_JITTER_SECONDS;
        return new PrefillChoice(server, wait, seconds, tokens, cost);
    }

    private DecodeChoice evaluateDecode(ServerState server, Query query, long nowNanos) {
        LoadEstimate estimate = server.estimate();
        ServerLoad load = estimate.lastReport();
        double bytes = (double) query.promptTokens() * load.kvBytesPerToken();
        double transfer = bytes
                / Math.max(1, load.linkBytesPerSecond())
                * server.transferCalibration().ratio(nowNanos);
        double used = estimate.slotsUsed() + 1.0;
        double token = server.tokenLatency().secondsAt(used, nowNanos);
        double linkWait = estimate.linkWaitSeconds(nowNanos);
        double cost = linkWait
                + transfer
                + token
                + FULL_SERVER_COST_SECONDS * used / Math.max(1, load.slots())
                + zoneCost(server)
                + random.nextDouble() * MAX_JITTER_SECONDS;
        return new DecodeChoice(server, linkWait, transfer, token, cost);
    }

    private Candidate localCandidate(DecodeChoice decode, Query query, long nowNanos) {
        PrefillChoice prefill = evaluatePrefill(decode.server(), query, nowNanos);
        double interferenceCost = decode.server().estimate().slotsUsed() * LOCAL_PREFILL_COST_SECONDS_PER_STREAM;
        double cost =
                prefill.cost() + decode.cost() - decode.linkWaitSeconds() - decode.transferSeconds() + interferenceCost;
        double first = FIRST_TOKEN_OVERHEAD_SECONDS + prefill.seconds() + decode.tokenSeconds();
        return new Candidate(
                decode.server(),
                decode.server(),
                prefill.seconds(),
                prefill.tokens(),
                0,
                0,
                first,
                decode.tokenSeconds(),
                cost);
    }

    private static Candidate pair(PrefillChoice from, DecodeChoice to) {
        boolean sameZone =
                from.server().server().zone().equals(to.server().server().zone());
        double ready = from.seconds();
        double linkWait = Math.max(0, to.linkWaitSeconds() - ready);
        double first = FIRST_TOKEN_OVERHEAD_SECONDS + ready + linkWait + to.transferSeconds() + to.tokenSeconds();
        double cost = from.cost() + to.cost() + (sameZone ? 0 : CROSS_ZONE_TRANSFER_COST_SECONDS);
        return new Candidate(
                from.server(),
                to.server(),
                ready,
                from.tokens(),
                linkWait,
                to.transferSeconds(),
                first,
                to.tokenSeconds(),
                cost);
    }

    private double zoneCost(ServerState server) {
        return server.server().zone().equals(ownZone) ? 0 : REMOTE_ZONE_COST_SECONDS;
    }

    private static Candidate preferred(Candidate one, Candidate two, Query query) {
        if (one == null) {
            return two;
        }
        boolean oneMeets = meetsLimits(one, query);
        if (oneMeets != meetsLimits(two, query)) {
            return oneMeets ? one : two;
        }
        return one.cost() <= two.cost() ? one : two;
    }

    private static boolean meetsLimits(Candidate candidate, Query query) {
        return candidate.firstTokenSeconds() <= query.firstTokenLimitSeconds()
                && candidate.tokenSeconds() <= query.tokenLimitSeconds();
    }

    private static void keepBest(List<PrefillChoice> byZone, PrefillChoice choice) {
        for (int i = 0; i < byZone.size(); i++) {
            PrefillChoice other = byZone.get(i);
            if (other.server().server().zone().equals(choice.server().server().zone())) {
                byZone.set(i, other.cost() <= choice.cost() ? other : choice);
                return;
            }
        }
        byZone.add(choice);
    }

    private static void keepBest(List<DecodeChoice> byZone, DecodeChoice choice) {
        for (int i = 0; i < byZone.size(); i++) {
            DecodeChoice other = byZone.get(i);
            if (other.server().server().zone().equals(choice.server().server().zone())) {
                byZone.set(i, other.cost() <= choice.cost() ? other : choice);
                return;
            }
        }
        byZone.add(choice);
    }
}
