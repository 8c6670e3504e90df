package org.mangoridge.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;

/**
 * The policy that entry instances run; see {@code docs/design/routing.md}.
 *
 * <p>A request that can't wait is placed or refused at once. One that can wait is queued until it fits between the
 * others. Failed attempts are repeated elsewhere from a budget.
 */
public final class DefaultRoutingPolicy implements RoutingPolicy {

    /** A gap between events, which come at least with every tick, that only a pause of this instance explains. */
    private static final long OWN_PAUSE_NANOS = Duration.ofMillis(1000).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_ATTEMPTS_TO_RESUME = 8;
    private static final int URGENT_PRIORITY = 10;
    private static final int PATIENT_PRIORITY = 0;
    private static final int RESUME_PRIORITY = 20;
    private static final int HEADS_TRIED = 4;
    private static final double HOPELESS_DOUBT = 1.3;
    private static final double OUTPUT_TOKEN_COST = 0.1;
    private static final long UPKEEP_NANOS = Duration.ofMillis(500).toNanos();
    private static final long SHORTEST_BACKOFF_NANOS = Duration.ofMillis(20).toNanos();
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** A retry that waits for its backoff. */
    private record Delayed(RequestId request, long dueNanos) {}

    private final RandomGenerator random;
    private final ServerTable servers;
    private final WorkspaceShares shares = new WorkspaceShares();
    private final InstanceCount instances = new InstanceCount();
    private final OutputLengths lengths = new OutputLengths();
    private final RetryBudget budget = new RetryBudget();
    private final Map<ServiceId, ServiceState> services = new HashMap<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>((one, two) -> Long.compare(one.dueNanos(), two.dueNanos()));
    private final AttemptTracker attempts;
    private final AdmissionControl admission;
    private long upkeepNanos;
    private long lastEventNanos = Long.MIN_VALUE;

    private DefaultRoutingPolicy(AvailabilityZone ownZone, RandomGenerator random) {
        this.random = random;
        this.servers = new ServerTable(random);
        this.attempts = new AttemptTracker(servers, shares, lengths);
        this.admission = new AdmissionControl(servers, shares, instances, new PlacementSearch(ownZone, random), random);
    }

    /** Returns a policy for an instance in {@code ownZone} that draws its choices from {@code random}. */
    public static DefaultRoutingPolicy create(AvailabilityZone ownZone, RandomGenerator random) {
        return new DefaultRoutingPolicy(Checks.notNull(ownZone, "ownZone"), Checks.notNull(random, "random"));
    }

    @Override
    public List<RoutingAction> on(RoutingEvent event, Duration now) {
        long nowNanos = now.toNanos();
        excludeOwnPause(nowNanos);
        List<RoutingAction> actions = new ArrayList<>(1);
        switch (event) {
            case RoutingEvent.RequestArrived arrived -> onRequestArrived(arrived.facts(), nowNanos, actions);
            case RoutingEvent.AttemptEnded ended -> onAttemptEnded(ended, nowNanos, actions);
            case RoutingEvent.RequestAbandoned abandoned -> onRequestAbandoned(abandoned.request(), nowNanos);
            case RoutingEvent.PrefillDone done ->
                attempts.findRunning(done.attempt()).ifPresent(request -> {
                    int computed = done.promptTokens() - done.cachedTokens();
                    attempts.recordPrefillDone(request, computed, nowNanos);
                    if (!request.facts().callerClass().canWait()) {
                        service(request.facts().service()).demand().recordUrgentPrefill(computed, nowNanos);
                    }
                    dispatch(request.facts().service(), nowNanos, actions);
                });
            case RoutingEvent.FirstTokenSent sent ->
                attempts.findRunning(sent.attempt()).ifPresent(request -> attempts.recordFirstToken(request, nowNanos));
            case RoutingEvent.LoadReported reported ->
                servers.find(reported.server()).ifPresent(server -> {
                    server.applyReport(reported.load(), nowNanos);
                    instances.recordAttempts(reported.load().attempts(), nowNanos);
                    dispatch(server.server().service(), nowNanos, actions);
                });
            case RoutingEvent.LoadReportMissed missed ->
                servers.find(missed.server()).ifPresent(ServerState::recordMissedReport);
            case RoutingEvent.ServerLeaving leaving ->
                servers.find(leaving.server())
                        .ifPresent(server -> server.health().markLeaving());
            case RoutingEvent.PeerInFlight peer ->
                peer.inFlight().forEach((id, count) -> servers.find(id)
                        .ifPresent(server -> server.estimate().recordPeerInFlight(peer.peer(), count, nowNanos)));
            case RoutingEvent.PeerGone gone ->
                servers.all().forEach(server -> server.estimate().removePeer(gone.peer()));
            case RoutingEvent.CacheChanged changed ->
                servers.find(changed.server())
                        .ifPresent(server -> server.applyCacheChanges(changed.changes(), nowNanos));
            case RoutingEvent.DeploymentAdopted adopted -> {
                servers.adopt(adopted.deployment());
                services.keySet()
                        .removeIf(id -> adopted.deployment().service(id).isEmpty()
                                && services.get(id).queue().isEmpty());
            }
            case RoutingEvent.Tick tick -> onTick(nowNanos, actions);
        }
        return actions;
    }

    /** Reports that came due while this instance did not run say nothing of their servers. */
    private void excludeOwnPause(long nowNanos) {
        long gapNanos = lastEventNanos == Long.MIN_VALUE ? 0 : nowNanos - lastEventNanos;
        lastEventNanos = nowNanos;
        if (gapNanos >= OWN_PAUSE_NANOS) {
            servers.all().forEach(server -> server.health().excludePause(gapNanos));
        }
    }

    private void onRequestArrived(RequestFacts facts, long nowNanos, List<RoutingAction> actions) {
        budget.deposit();
        ServiceState service = service(facts.service());
        shares.recordRequest(facts.caller().workspace(), facts.callerClass().share(), nowNanos);
        TrackedRequest request = attempts.track(facts);
        boolean canWait = facts.callerClass().canWait();
        if (!canWait) {
            service.demand().recordUrgentArrival(facts, nowNanos);
        }
        if (canWait && !service.queue().isEmpty()) {
            enqueue(request, service, nowNanos, actions);
            return;
        }
        switch (admission.decide(request, service.demand(), nowNanos)) {
            case AdmissionControl.Start start -> start(request, start.candidate(), nowNanos, actions);
            case AdmissionControl.NotNow notNow -> {
                boolean starting =
                        notNow.reason() == RefusalReason.NO_SERVER && servers.hasUnreportedServer(facts.service());
                if (canWait || starting) {
                    enqueue(request, service, nowNanos, actions);
                } else {
                    refuse(request, notNow.reason(), notNow.detail(), nowNanos, actions);
                }
            }
        }
    }

    private void onAttemptEnded(RoutingEvent.AttemptEnded ended, long nowNanos, List<RoutingAction> actions) {
        Optional<TrackedRequest> running = attempts.findRunning(ended.attempt());
        if (running.isEmpty()) {
            return;
        }
        TrackedRequest request = running.get();
        ServiceState service = service(request.facts().service());
        double heldSeconds = attempts.endAttempt(request, ended.outcome(), nowNanos);
        service.demand().attemptEnded(request.facts().callerClass().canWait());
        if (ended.outcome() instanceof AttemptOutcome.Failed failed) {
            onAttemptFailed(request, failed, nowNanos, actions);
        } else {
            if (ended.outcome() instanceof AttemptOutcome.Completed) {
                service.demand().recordSlotTime(request.facts().callerClass().canWait(), heldSeconds);
            }
            attempts.forget(request.facts().id());
        }
        dispatch(request.facts().service(), nowNanos, actions);
    }

    private void onAttemptFailed(
            TrackedRequest request, AttemptOutcome.Failed failed, long nowNanos, List<RoutingAction> actions) {
        int mostAttempts = request.outputTokens() > 0 ? MAX_ATTEMPTS_TO_RESUME : MAX_ATTEMPTS;
        if (request.attempt().number() >= mostAttempts || !budget.tryAcquire()) {
            refuse(request, refusalReason(failed), "the backend servers failed", nowNanos, actions);
        } else if (request.failures() == 1 || retriesWithoutBackoff(request)) {
            retry(request, nowNanos, actions);
        } else {
            scheduleRetry(request, nowNanos, actions);
        }
    }

    private static boolean retriesWithoutBackoff(TrackedRequest request) {
        return request.outputTokens() == 0 && !request.facts().callerClass().canWait();
    }

    private void retry(TrackedRequest request, long nowNanos, List<RoutingAction> actions) {
        if (nowNanos >= request.facts().deadline().toNanos()) {
            refuse(request, RefusalReason.DEADLINE, "the deadline passed", nowNanos, actions);
            return;
        }
        boolean resumes = request.outputTokens() > 0;
        ServiceState service = service(request.facts().service());
        AdmissionControl.Decision decision = resumes
                ? admission.decideResume(request, nowNanos)
                : admission.decide(request, service.demand(), nowNanos);
        switch (decision) {
            case AdmissionControl.Start start -> start(request, start.candidate(), nowNanos, actions);
            case AdmissionControl.NotNow notNow -> {
                if (resumes && request.tryWaitForCapacity()) {
                    scheduleRetry(request, nowNanos, actions);
                } else if (!resumes && request.facts().callerClass().canWait()) {
                    enqueue(request, service, nowNanos, actions);
                } else {
                    refuse(request, notNow.reason(), notNow.detail(), nowNanos, actions);
                }
            }
        }
    }

    private void scheduleRetry(TrackedRequest request, long nowNanos, List<RoutingAction> actions) {
        long backoff = SHORTEST_BACKOFF_NANOS
                << Math.min(MAX_BACKOFF_DOUBLINGS, request.failures() + request.capacityWaits() - 1);
        long due = nowNanos + (long) (backoff * (0.5 + random.nextDouble()));
        if (due >= request.facts().deadline().toNanos()) {
            refuse(request, RefusalReason.DEADLINE, "the deadline leaves no time to try again", nowNanos, actions);
            return;
        }
        delayed.add(new Delayed(request.facts().id(), due));
    }

    private void onRequestAbandoned(RequestId id, long nowNanos) {
        attempts.find(id).ifPresent(request -> {
            service(request.facts().service()).queue().remove(id);
            if (request.isRunning()) {
                attempts.endAttempt(request, new AttemptOutcome.CallerGone(request.outputTokens()), nowNanos);
                service(request.facts().service())
                        .demand()
                        .attemptEnded(request.facts().callerClass().canWait());
            }
            attempts.forget(id);
        });
    }

    private void onTick(long nowNanos, List<RoutingAction> actions) {
        while (!delayed.isEmpty() && delayed.peek().dueNanos() <= nowNanos) {
            attempts.find(delayed.poll().request())
                    .filter(request -> !request.isRunning())
                    .ifPresent(request -> retry(request, nowNanos, actions));
        }
        for (ServiceId service : List.copyOf(services.keySet())) {
            dispatch(service, nowNanos, actions);
        }
        if (nowNanos - upkeepNanos >= UPKEEP_NANOS) {
            upkeepNanos = nowNanos;
            shares.expireIdle(nowNanos);
            instances.expire(nowNanos);
            services.values().forEach(service -> service.queue()
                    .removeUnservable(HOPELESS_DOUBT, nowNanos)
                    .forEach(waiting -> refuseQueued(waiting, nowNanos, actions)));
        }
    }

    /** Starts waiting requests as long as those whose turn it is fit. */
    private void dispatch(ServiceId id, long nowNanos, List<RoutingAction> actions) {
        ServiceState service = services.get(id);
        if (service == null) {
            return;
        }
        FairQueue queue = service.queue();
        for (int tried = 0; tried < HEADS_TRIED && !queue.isEmpty(); tried++) {
            FairQueue.Waiting head = queue.head().orElseThrow();
            RequestFacts facts = head.facts();
            TrackedRequest request = attempts.find(facts.id()).orElseThrow();
            if (nowNanos >= head.limitNanos()) {
                queue.remove(facts.id());
                refuseQueued(head, nowNanos, actions);
                continue;
            }
            AdmissionControl.Decision decision = admission.decide(request, service.demand(), nowNanos);
            if (decision instanceof AdmissionControl.NotNow notNow) {
                if (facts.callerClass().canWait() || notNow.reason() == RefusalReason.NO_SERVER) {
                    return;
                }
                queue.remove(facts.id());
                refuse(request, notNow.reason(), notNow.detail(), nowNanos, actions);
                continue;
            }
            queue.pollHead(facts.promptTokens() * OUTPUT_TOKEN_COST + lengths.expectedTokens(facts), nowNanos);
            start(request, ((AdmissionControl.Start) decision).candidate(), nowNanos, actions);
        }
    }

    private void enqueue(TrackedRequest request, ServiceState service, long nowNanos, List<RoutingAction> actions) {
        RequestFacts facts = request.facts();
        Duration longest = facts.callerClass().canWait()
                ? facts.callerClass().maxWait()
                : facts.callerClass().firstToken();
        long limit = Math.min(
                facts.arrived().plus(longest).toNanos(), facts.deadline().toNanos());
        double pace = facts.callerClass().canWait()
                ? admission.secondsPerDeferrableStart(facts, service.demand(), nowNanos)
                : 0;
        double wait = service.queue().expectedWaitSeconds(facts.caller().workspace(), pace, nowNanos);
        if (wait > (limit - nowNanos) / NANOS_PER_SECOND) {
            refuse(request, RefusalReason.NO_CAPACITY, "the queue is longer than the wait allowed", nowNanos, actions);
            return;
        }
        service.queue()
                .add(new FairQueue.Waiting(facts, limit), nowNanos)
                .ifPresent(dropped -> refuseQueued(dropped, nowNanos, actions));
    }

    private void refuseQueued(FairQueue.Waiting waiting, long nowNanos, List<RoutingAction> actions) {
        attempts.find(waiting.facts().id())
                .ifPresent(request -> refuse(
                        request,
                        RefusalReason.NO_CAPACITY,
                        "no server has room within the wait allowed",
                        nowNanos,
                        actions));
    }

    private void start(TrackedRequest request, Candidate candidate, long nowNanos, List<RoutingAction> actions) {
        AttemptId attempt = attempts.startAttempt(request, candidate, nowNanos);
        service(request.facts().service())
                .demand()
                .attemptStarted(request.facts().callerClass().canWait());
        int priority = priority(request);
        actions.add(new RoutingAction.Place(
                attempt,
                new Placement(
                        candidate.prefill().id(),
                        candidate.decode().id(),
                        true,
                        priority,
                        StageTimeoutCalculator.timeouts(candidate))));
    }

    private void refuse(
            TrackedRequest request, RefusalReason reason, String detail, long nowNanos, List<RoutingAction> actions) {
        RequestFacts facts = request.facts();
        Demand demand = service(facts.service()).demand();
        demand.recordRefusal(nowNanos);
        attempts.forget(facts.id());
        Refusal refusal = request.verdict() == Verdict.RAN && request.outputTokens() > 0
                ? Refusal.of(reason, request.verdict(), detail)
                : new Refusal(
                        reason, request.verdict(), detail, Optional.of(admission.retryAfter(facts, demand, nowNanos)));
        actions.add(new RoutingAction.Refuse(facts.id(), refusal));
    }

    private ServiceState service(ServiceId id) {
        return services.computeIfAbsent(id, key -> new ServiceState());
    }

    private static int priority(TrackedRequest request) {
        if (request.outputTokens() > 0) {
            return RESUME_PRIORITY;
        }
        return request.facts().callerClass().canWait() ? PATIENT_PRIORITY : URGENT_PRIORITY;
    }

    private static RefusalReason refusalReason(AttemptOutcome.Failed failed) {
        return failed.kind() == AttemptOutcome.FailureKind.FULL
                ? RefusalReason.NO_CAPACITY
                : RefusalReason.SERVER_FAILED;
    }
}
