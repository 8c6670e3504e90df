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
 * <p>A request that can't wait is placed or refused at once. One that can wait is queued until there is spare capacity.
 * Failed attempts are retried on other servers within a retry budget.
 */
public final class DefaultRoutingPolicy implements RoutingPolicy {

    /** The shortest gap between events that counts as a pause of this process; ticks normally come far more often. */
    private static final long MIN_PAUSE_NANOS = Duration.ofMillis(1000).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_ATTEMPTS_TO_RESUME = 8;
    private static final int URGENT_PRIORITY = 10;
    private static final int DEFERRABLE_PRIORITY = 0;
    private static final int RESUME_PRIORITY = 20;

    /** How many queued requests one event may start or refuse. */
    private static final int MAX_HEADS_PER_DISPATCH = 4;

    /** A queued request is refused once its forecast wait exceeds its remaining time by this factor. */
    private static final double QUEUE_FORECAST_TOLERANCE = 1.3;

    /** The cost of a prompt token in the fair queue, relative to an output token. */
    private static final double PROMPT_TOKEN_COST = 0.1;

    private static final long MAINTENANCE_INTERVAL_NANOS =
            Duration.ofMillis(500).toNanos();
    private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(20).toNanos();
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** A retry that waits for its backoff. */
    private record ScheduledRetry(RequestId request, long dueNanos) {}

    private final RandomGenerator random;
    private final ServerTable servers;
    private final WorkspaceShares shares = new WorkspaceShares();
    private final InstanceCount instances = new InstanceCount();
    private final OutputLengths lengths = new OutputLengths();
    private final RetryBudget retryBudget = new RetryBudget();
    private final Map<ServiceId, ServiceState> services = new HashMap<>();
    private final PriorityQueue<ScheduledRetry> scheduledRetries =
            new PriorityQueue<>((one, two) -> Long.compare(one.dueNanos(), two.dueNanos()));
    private final AttemptTracker attempts;
    private final AdmissionControl admission;
    private long lastMaintenanceNanos;
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

    /** Excludes a pause of this process from the age of load reports, so that it doesn't mark servers as silent. */
    private void excludeOwnPause(long nowNanos) {
        long gapNanos = lastEventNanos == Long.MIN_VALUE ? 0 : nowNanos - lastEventNanos;
        lastEventNanos = nowNanos;
        if (gapNanos >= MIN_PAUSE_NANOS) {
            servers.all().forEach(server -> server.health().excludePause(gapNanos));
        }
    }

    private void onRequestArrived(RequestFacts facts, long nowNanos, List<RoutingAction> actions) {
        retryBudget.deposit();
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
            case AdmissionControl.Admitted start -> start(request, start.candidate(), nowNanos, actions);
            case AdmissionControl.NotAdmitted notAdmitted -> {
                boolean awaitsFirstReport =
                        notAdmitted.reason() == RefusalReason.NO_SERVER && servers.hasUnreportedServer(facts.service());
                if (canWait || awaitsFirstReport) {
                    enqueue(request, service, nowNanos, actions);
                } else {
                    refuse(request, notAdmitted.reason(), notAdmitted.detail(), nowNanos, actions);
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
        int maxAttempts = request.outputTokens() > 0 ? MAX_ATTEMPTS_TO_RESUME : MAX_ATTEMPTS;
        if (request.attempt().number() >= maxAttempts || !retryBudget.tryAcquire()) {
            refuse(request, refusalReason(failed), "the attempts on backend servers failed", nowNanos, actions);
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
            refuse(
                    request,
                    RefusalReason.DEADLINE,
                    "the deadline passed before a retry could start",
                    nowNanos,
                    actions);
            return;
        }
        boolean resumes = request.outputTokens() > 0;
        ServiceState service = service(request.facts().service());
        AdmissionControl.Decision decision = resumes
                ? admission.decideResume(request, nowNanos)
                : admission.decide(request, service.demand(), nowNanos);
        switch (decision) {
            case AdmissionControl.Admitted start -> start(request, start.candidate(), nowNanos, actions);
            case AdmissionControl.NotAdmitted notAdmitted -> {
                if (resumes && request.tryWaitForCapacity()) {
                    scheduleRetry(request, nowNanos, actions);
                } else if (!resumes && request.facts().callerClass().canWait()) {
                    enqueue(request, service, nowNanos, actions);
                } else {
                    refuse(request, notAdmitted.reason(), notAdmitted.detail(), nowNanos, actions);
                }
            }
        }
    }

    private void scheduleRetry(TrackedRequest request, long nowNanos, List<RoutingAction> actions) {
        long backoff =
                MIN_BACKOFF_NANOS << Math.min(MAX_BACKOFF_DOUBLINGS, request.failures() + request.capacityWaits() - 1);
        long due = nowNanos + (long) (backoff * (0.5 + random.nextDouble()));
        if (due >= request.facts().deadline().toNanos()) {
            refuse(request, RefusalReason.DEADLINE, "the deadline would pass before the next retry", nowNanos, actions);
            return;
        }
        scheduledRetries.add(new ScheduledRetry(request.facts().id(), due));
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
        while (!scheduledRetries.isEmpty() && scheduledRetries.peek().dueNanos() <= nowNanos) {
            attempts.find(scheduledRetries.poll().request())
                    .filter(request -> !request.isRunning())
                    .ifPresent(request -> retry(request, nowNanos, actions));
        }
        for (ServiceId service : List.copyOf(services.keySet())) {
            dispatch(service, nowNanos, actions);
        }
        if (nowNanos - lastMaintenanceNanos >= MAINTENANCE_INTERVAL_NANOS) {
            lastMaintenanceNanos = nowNanos;
            shares.expireIdle(nowNanos);
            instances.expire(nowNanos);
            services.values().forEach(service -> service.queue()
                    .removeUnservable(QUEUE_FORECAST_TOLERANCE, nowNanos)
                    .forEach(waiting -> refuseQueued(waiting, nowNanos, actions)));
        }
    }

    /** Starts queued requests in turn until one can't start. */
    private void dispatch(ServiceId id, long nowNanos, List<RoutingAction> actions) {
        ServiceState service = services.get(id);
        if (service == null) {
            return;
        }
        FairQueue queue = service.queue();
        for (int tried = 0; tried < MAX_HEADS_PER_DISPATCH && !queue.isEmpty(); tried++) {
            FairQueue.QueuedRequest head = queue.head().orElseThrow();
            RequestFacts facts = head.facts();
            TrackedRequest request = attempts.find(facts.id()).orElseThrow();
            if (nowNanos >= head.latestStartNanos()) {
                queue.remove(facts.id());
                refuseQueued(head, nowNanos, actions);
                continue;
            }
            AdmissionControl.Decision decision = admission.decide(request, service.demand(), nowNanos);
            if (decision instanceof AdmissionControl.NotAdmitted notAdmitted) {
                if (facts.callerClass().canWait() || notAdmitted.reason() == RefusalReason.NO_SERVER) {
                    return;
                }
                queue.remove(facts.id());
                refuse(request, notAdmitted.reason(), notAdmitted.detail(), nowNanos, actions);
                continue;
            }
            queue.pollHead(facts.promptTokens() * PROMPT_TOKEN_COST + lengths.expectedTokens(facts), nowNanos);
            start(request, ((AdmissionControl.Admitted) decision).candidate(), nowNanos, actions);
        }
    }

    private void enqueue(TrackedRequest request, ServiceState service, long nowNanos, List<RoutingAction> actions) {
        RequestFacts facts = request.facts();
        Duration maxWait = facts.callerClass().canWait()
                ? facts.callerClass().maxWait()
                : facts.callerClass().firstToken();
        long latestStart = Math.min(
                facts.arrived().plus(maxWait).toNanos(), facts.deadline().toNanos());
        double secondsPerStart = facts.callerClass().canWait()
                ? admission.secondsPerDeferrableStart(facts, service.demand(), nowNanos)
                : 0;
        double wait = service.queue().expectedWaitSeconds(facts.caller().workspace(), secondsPerStart, nowNanos);
        if (wait > (latestStart - nowNanos) / NANOS_PER_SECOND) {
            refuse(
                    request,
                    RefusalReason.NO_CAPACITY,
                    "the expected queue wait exceeds the longest wait allowed",
                    nowNanos,
                    actions);
            return;
        }
        service.queue()
                .add(new FairQueue.QueuedRequest(facts, latestStart), nowNanos)
                .ifPresent(dropped -> refuseQueued(dropped, nowNanos, actions));
    }

    private void refuseQueued(FairQueue.QueuedRequest waiting, long nowNanos, List<RoutingAction> actions) {
        attempts.find(waiting.facts().id())
                .ifPresent(request -> refuse(
                        request,
                        RefusalReason.NO_CAPACITY,
                        "no server has free capacity within the longest wait allowed",
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
        return request.facts().callerClass().canWait() ? DEFERRABLE_PRIORITY : URGENT_PRIORITY;
    }

    private static RefusalReason refusalReason(AttemptOutcome.Failed failed) {
        return failed.kind() == AttemptOutcome.FailureKind.FULL
                ? RefusalReason.NO_CAPACITY
                : RefusalReason.SERVER_FAILED;
    }
}
