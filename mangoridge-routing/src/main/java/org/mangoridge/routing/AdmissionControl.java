package org.mangoridge.routing;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.core.verdict.RefusalReason;

/** Decides whether a request can be served now within its targets, and by which servers. */
final class AdmissionControl {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double REPORT_LAG_SECONDS = 0.35;
    private static final double MOST_KEPT_SHARE = 0.3;
    private static final double CONTENDED_FREE_SHARE = 0.15;
    private static final double IDLE_PREFILL_WAIT_SECONDS = 0.1;
    private static final double LONG_PREFILL_SHARE_OF_TARGET = 0.3;
    private static final double PREFILL_KEPT_PER_LOAD = 2;
    private static final double TARGET_SHARE_PLANNED = 0.9;
    private static final double PATIENCE = 0.5;
    private static final long DRAW_NANOS = Duration.ofSeconds(5).toNanos();
    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(30);

    /** What was decided. */
    sealed interface Decision {}

    /** Start now. */
    record Start(Candidate candidate) implements Decision {}

    /** Not now, for {@code reason}. */
    record NotNow(RefusalReason reason, String detail) implements Decision {}

    private final ServerTable servers;
    private final WorkspaceShares shares;
    private final InstanceCount instances;
    private final PlacementSearch search;
    private final RandomGenerator random;
    private double drawn;
    private long drawnNanos = Long.MIN_VALUE;

    AdmissionControl(
            ServerTable servers,
            WorkspaceShares shares,
            InstanceCount instances,
            PlacementSearch search,
            RandomGenerator random) {
        this.servers = servers;
        this.shares = shares;
        this.instances = instances;
        this.search = search;
        this.random = random;
    }

    /** Decides about a request that has sent nothing to its caller yet. */
    Decision decide(TrackedRequest request, Demand demand, long nowNanos) {
        RequestFacts facts = request.facts();
        List<ServerState> prefill = servers.availablePrefill(facts.service(), nowNanos);
        List<ServerState> decode = servers.availableDecode(facts.service(), nowNanos);
        if (isShareExhausted(facts, decode)) {
            return new NotNow(RefusalReason.CALLER_SHARE, "other requests of the workspace fill its share");
        }
        return facts.callerClass().canWait()
                ? decideDeferrable(request, demand, prefill, decode, nowNanos)
                : decideUrgent(request, prefill, decode, nowNanos);
    }

    /** Decides about a request whose caller has part of the answer; only room counts. */
    Decision decideResume(TrackedRequest request, long nowNanos) {
        RequestFacts facts = request.facts();
        PlacementSearch.Query query = query(request, 0, Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE);
        return toDecision(search.search(
                query,
                servers.availablePrefill(facts.service(), nowNanos),
                servers.availableDecode(facts.service(), nowNanos),
                nowNanos));
    }

    /** Tells a refused caller when to come back: the later the more is refused, spread at random. */
    Duration retryAfter(RequestFacts facts, Demand demand, long nowNanos) {
        int slots = 0;
        for (ServerState server : servers.availableDecode(facts.service(), nowNanos)) {
            slots += server.estimate().lastReport().slots();
        }
        double served = Math.max(0.1, slots / demand.urgentSlotSeconds() / instances.count());
        double overload = 1 + demand.refusedPerSecond(nowNanos) / served;
        double seconds = overload * (0.75 + 0.5 * random.nextDouble());
        Duration after = Duration.ofMillis((long) (seconds * 1000));
        if (after.compareTo(SHORTEST_RETRY_AFTER) < 0) {
            return SHORTEST_RETRY_AFTER;
        }
        return after.compareTo(LONGEST_RETRY_AFTER) > 0 ? LONGEST_RETRY_AFTER : after;
    }

    private Decision decideUrgent(
            TrackedRequest request, List<ServerState> prefill, List<ServerState> decode, long nowNanos) {
        double target = seconds(request.facts().callerClass().firstToken());
        double remaining = request.failures() == 0 ? target - request.ageSeconds(nowNanos) : target;
        PlacementSearch.Query query = query(
                request,
                0,
                Double.MAX_VALUE,
                remaining * TARGET_SHARE_PLANNED,
                seconds(request.facts().callerClass().perToken()));
        return toDecision(search.search(query, prefill, decode, nowNanos));
    }

    private Decision decideDeferrable(
            TrackedRequest request, Demand demand, List<ServerState> prefill, List<ServerState> decode, long nowNanos) {
        if (demand.deferrableInFlight()
                >= Math.floor(DeferrableSlotQuota.slots(demand, decode, instances.count(), nowNanos)
                        + roundingOffset(nowNanos))) {
            return new NotNow(RefusalReason.NO_CAPACITY, "the slots are kept for requests that can't wait");
        }
        RequestFacts facts = request.facts();
        boolean pressed =
                request.ageSeconds(nowNanos) > seconds(facts.callerClass().maxWait()) * PATIENCE;
        double tokenLimit =
                pressed ? Double.MAX_VALUE : seconds(facts.callerClass().perToken());
        PlacementSearch.Query query = query(
                request,
                reservedSlotsPerServer(demand, decode, nowNanos),
                IDLE_PREFILL_WAIT_SECONDS,
                Double.MAX_VALUE,
                tokenLimit);
        return toDecision(search.search(query, deferrablePrefill(facts, demand, prefill, nowNanos), decode, nowNanos));
    }

    private static Decision toDecision(PlacementSearch.Found found) {
        return switch (found) {
            case PlacementSearch.Placed placed -> new Start(placed.candidate());
            case PlacementSearch.NoServer none ->
                new NotNow(RefusalReason.NO_SERVER, "the service has no server for the request");
            case PlacementSearch.NoCapacity full -> new NotNow(RefusalReason.NO_CAPACITY, "no server has room");
            case PlacementSearch.TooLate late ->
                new NotNow(RefusalReason.TARGET_UNREACHABLE, "the latency targets can't be met now");
        };
    }

    private static PlacementSearch.Query query(
            TrackedRequest request, int slotsKept, double prefillWait, double firstToken, double perToken) {
        RequestFacts facts = request.facts();
        return new PlacementSearch.Query(
                facts,
                facts.promptTokens() + facts.maxTokens(),
                facts.promptTokens() + request.outputTokens(),
                request.excludedServers(),
                slotsKept,
                prefillWait,
                firstToken,
                perToken);
    }

    private boolean isShareExhausted(RequestFacts facts, List<ServerState> decode) {
        int slots = 0;
        int free = 0;
        for (ServerState server : decode) {
            slots += server.estimate().lastReport().slots();
            free += Math.max(0, server.estimate().freeSlots());
        }
        return free < slots * CONTENDED_FREE_SHARE
                && shares.isExhausted(facts.caller().workspace(), (double) free / instances.count());
    }

    /** Forecasts the seconds between starts of requests that can wait. */
    double secondsPerDeferrableStart(RequestFacts facts, Demand demand, long nowNanos) {
        List<ServerState> decode = servers.availableDecode(facts.service(), nowNanos);
        double slots = DeferrableSlotQuota.slots(demand, decode, instances.count(), nowNanos);
        return slots <= 0 ? 0 : demand.deferrableSlotSeconds() / slots;
    }

    /** Draws anew at intervals, so that instances with a part of a slot each use whole ones in turn. */
    private double roundingOffset(long nowNanos) {
        if (drawnNanos == Long.MIN_VALUE || nowNanos - drawnNanos >= DRAW_NANOS) {
            drawnNanos = nowNanos;
            drawn = random.nextDouble();
        }
        return drawn;
    }

    /** Returns the slots of each server that requests which can't wait may need before the next report. */
    private int reservedSlotsPerServer(Demand demand, List<ServerState> decode, long nowNanos) {
        if (decode.isEmpty()) {
            return 0;
        }
        double arriving = demand.urgentRequestsPerSecond(nowNanos) * instances.count() * REPORT_LAG_SECONDS;
        double needed = arriving + Math.sqrt(arriving);
        int slots = decode.get(0).estimate().lastReport().slots();
        return (int) Math.min(slots * MOST_KEPT_SHARE, Math.ceil(needed / decode.size()));
    }

    /** Keeps long prefills of requests that can wait off the servers that those which can't wait need. */
    private List<ServerState> deferrablePrefill(
            RequestFacts facts, Demand demand, List<ServerState> prefill, long nowNanos) {
        if (prefill.size() < 2) {
            return prefill;
        }
        double rate = prefill.get(0).estimate().lastReport().prefillTokensPerSecond();
        boolean isLong =
                facts.promptTokens() / rate > demand.tightestFirstTokenSeconds() * LONG_PREFILL_SHARE_OF_TARGET;
        double load = demand.urgentPrefillTokensPerSecond(nowNanos) * instances.count() / (rate * prefill.size());
        if (!isLong || load == 0) {
            return prefill;
        }
        int kept = (int) Math.ceil(prefill.size() * Math.min(1, load * PREFILL_KEPT_PER_LOAD));
        return prefill.subList(Math.clamp(kept, 1, prefill.size() - 1), prefill.size());
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
