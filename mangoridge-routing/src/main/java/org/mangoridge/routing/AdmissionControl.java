package org.mangoridge.routing;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangoridge.core.verdict.RefusalReason;

/** Decides whether a request can start now within its latency targets, and on which servers. */
final class AdmissionControl {

    private static final double NANOS_PER_SECOND = 1e9;

    /** The assumed age of a server's load report until the next one replaces it. */
    private static final double REPORT_LAG_SECONDS = 0.35;

    private static final double MAX_RESERVED_SLOT_SHARE = 0.3;

    /** Workspace shares are enforced when less than this share of the decode slots is free. */
    private static final double CONTENDED_FREE_SHARE = 0.15;

    private static final double MAX_DEFERRABLE_PREFILL_WAIT_SECONDS = 0.1;

    /** A prefill is long if it takes more than this share of the tightest first-token target. */
    private static final double LONG_PREFILL_SHARE_OF_TARGET = 0.3;

    /** The share of the prefill servers that is reserved for requests that can't wait, per unit of their load. */
    private static final double RESERVED_PREFILL_SHARE_PER_LOAD = 2;

    /** The share of the remaining first-token time that a placement may be forecast to use. */
    private static final double FIRST_TOKEN_BUDGET_SHARE = 0.9;

    /** After this share of its maximum wait, a queued request starts even if its per-token target can't be met. */
    private static final double TOKEN_TARGET_WAIVER_WAIT_SHARE = 0.5;

    private static final long ROUNDING_PERIOD_NANOS = Duration.ofSeconds(5).toNanos();
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    /** The result of an admission decision. */
    sealed interface Decision {}

    /** The request starts now on the servers of {@code candidate}. */
    record Admitted(Candidate candidate) implements Decision {}

    /** The request can't start now; it is queued, retried or refused. */
    record NotAdmitted(RefusalReason reason, String detail) implements Decision {}

    private final ServerTable servers;
    private final WorkspaceShares shares;
    private final InstanceCount instances;
    private final PlacementSearch search;
    private final RandomGenerator random;
    private double offset;
    private long offsetDrawnNanos = Long.MIN_VALUE;

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

    /** Decides about a request for which no output has been sent to the caller yet. */
    Decision decide(TrackedRequest request, Demand demand, long nowNanos) {
        RequestFacts facts = request.facts();
        List<ServerState> prefill = servers.availablePrefill(facts.service(), nowNanos);
        List<ServerState> decode = servers.availableDecode(facts.service(), nowNanos);
        if (isShareExhausted(facts, decode)) {
            return new NotAdmitted(
                    RefusalReason.CALLER_SHARE,
                    "the workspace's requests in flight already use its share of the slots");
        }
        return facts.callerClass().canWait()
                ? decideDeferrable(request, demand, prefill, decode, nowNanos)
                : decideUrgent(request, prefill, decode, nowNanos);
    }

    /** Decides about resuming a stream that the caller has received in part; capacity is checked, latency targets aren't. */
    Decision decideResume(TrackedRequest request, long nowNanos) {
        RequestFacts facts = request.facts();
        PlacementSearch.Query query = query(request, 0, Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE);
        return toDecision(search.search(
                query,
                servers.availablePrefill(facts.service(), nowNanos),
                servers.availableDecode(facts.service(), nowNanos),
                nowNanos));
    }

    /** Returns the Retry-After of a refusal: it grows with the refusal rate and is jittered to spread the retries. */
    Duration retryAfter(RequestFacts facts, Demand demand, long nowNanos) {
        int slots = 0;
        for (ServerState server : servers.availableDecode(facts.service(), nowNanos)) {
            slots += server.estimate().lastReport().slots();
        }
        double served = Math.max(0.1, slots / demand.urgentSlotSeconds() / instances.count());
        double overload = 1 + demand.refusedPerSecond(nowNanos) / served;
        double seconds = overload * (0.75 + 0.5 * random.nextDouble());
        Duration after = Duration.ofMillis((long) (seconds * 1000));
        if (after.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return after.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : after;
    }

    private Decision decideUrgent(
            TrackedRequest request, List<ServerState> prefill, List<ServerState> decode, long nowNanos) {
        double target = seconds(request.facts().callerClass().firstToken());
        double remaining = request.failures() == 0 ? target - request.ageSeconds(nowNanos) : target;
        PlacementSearch.Query query = query(
                request,
                0,
                Double.MAX_VALUE,
                remaining * FIRST_TOKEN_BUDGET_SHARE,
                seconds(request.facts().callerClass().perToken()));
        return toDecision(search.search(query, prefill, decode, nowNanos));
    }

    private Decision decideDeferrable(
            TrackedRequest request, Demand demand, List<ServerState> prefill, List<ServerState> decode, long nowNanos) {
        if (demand.deferrableInFlight()
                >= Math.floor(DeferrableSlotQuota.slots(demand, decode, instances.count(), nowNanos)
                        + roundingOffset(nowNanos))) {
            return new NotAdmitted(
                    RefusalReason.NO_CAPACITY, "the remaining slots are reserved for requests that can't wait");
        }
        RequestFacts facts = request.facts();
        boolean tokenTargetWaived =
                request.ageSeconds(nowNanos) > seconds(facts.callerClass().maxWait()) * TOKEN_TARGET_WAIVER_WAIT_SHARE;
        double tokenLimit = tokenTargetWaived
                ? Double.MAX_VALUE
                : seconds(facts.callerClass().perToken());
        PlacementSearch.Query query = query(
                request,
                reservedSlotsPerServer(demand, decode, nowNanos),
                MAX_DEFERRABLE_PREFILL_WAIT_SECONDS,
                Double.MAX_VALUE,
                tokenLimit);
        return toDecision(search.search(query, deferrablePrefill(facts, demand, prefill, nowNanos), decode, nowNanos));
    }

    private static Decision toDecision(PlacementSearch.Result result) {
        return switch (result) {
            case PlacementSearch.Placed placed -> new Admitted(placed.candidate());
            case PlacementSearch.NoServer none ->
                new NotAdmitted(RefusalReason.NO_SERVER, "the service has no available prefill or decode server");
            case PlacementSearch.NoCapacity full ->
                new NotAdmitted(RefusalReason.NO_CAPACITY, "no server has enough free capacity");
            case PlacementSearch.TargetMissed late ->
                new NotAdmitted(
                        RefusalReason.TARGET_UNREACHABLE, "the latency targets can't be met at the current load");
        };
    }

    private static PlacementSearch.Query query(
            TrackedRequest request, int reservedSlots, double prefillWait, double firstToken, double perToken) {
        RequestFacts facts = request.facts();
        return new PlacementSearch.Query(
                facts,
                facts.promptTokens() + facts.maxTokens(),
                facts.promptTokens() + request.outputTokens(),
                request.excludedServers(),
                reservedSlots,
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

    /** Forecasts the interval between starts of requests that can wait, in seconds; 0 if there are no slots. */
    double secondsPerDeferrableStart(RequestFacts facts, Demand demand, long nowNanos) {
        List<ServerState> decode = servers.availableDecode(facts.service(), nowNanos);
        double slots = DeferrableSlotQuota.slots(demand, decode, instances.count(), nowNanos);
        return slots <= 0 ? 0 : demand.deferrableSlotSeconds() / slots;
    }

    /**
     * Returns a random rounding offset that is redrawn periodically, so that instances whose quotas are a fraction of a
     * slot take turns at using a whole one.
     */
    private double roundingOffset(long nowNanos) {
        if (offsetDrawnNanos == Long.MIN_VALUE || nowNanos - offsetDrawnNanos >= ROUNDING_PERIOD_NANOS) {
            offsetDrawnNanos = nowNanos;
            offset = random.nextDouble();
        }
        return offset;
    }

    /** Returns how many slots of each server to reserve for requests that can't wait and arrive before its next report. */
    private int reservedSlotsPerServer(Demand demand, List<ServerState> decode, long nowNanos) {
        if (decode.isEmpty()) {
            return 0;
        }
        double arriving = demand.urgentRequestsPerSecond(nowNanos) * instances.count() * REPORT_LAG_SECONDS;
        double needed = arriving + Math.sqrt(arriving);
        int slots = decode.get(0).estimate().lastReport().slots();
        return (int) Math.min(slots * MAX_RESERVED_SLOT_SHARE, Math.ceil(needed / decode.size()));
    }

    /** Returns the prefill servers for a request that can wait; long prompts leave out those reserved for others. */
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
        int reserved = (int) Math.ceil(prefill.size() * Math.min(1, load * RESERVED_PREFILL_SHARE_PER_LOAD));
        return prefill.subList(Math.clamp(reserved, 1, prefill.size() - 1), prefill.size());
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
