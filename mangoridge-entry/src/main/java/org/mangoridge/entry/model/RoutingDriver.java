package org.mangoridge.entry.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.routing.AttemptOutcome;
import org.mangoridge.routing.Placement;
import org.mangoridge.routing.RequestFacts;
import org.mangoridge.routing.RoutingAction;
import org.mangoridge.routing.RoutingEvent;
import org.mangoridge.routing.RoutingPolicy;

/** Runs a routing policy on the control thread and passes its decisions to traffic threads; thread-safe. */
public final class RoutingDriver {

    /**
     * An attempt that the policy has placed.
     *
     * @param attempt the id of the attempt
     * @param placement the servers of the attempt
     */
    public record PlacedAttempt(AttemptId attempt, Placement placement) {}

    private final ControlLoop control;
    private final Clock clock;
    private final RoutingPolicy policy;
    private final Map<RequestId, CompletableFuture<Result<PlacedAttempt, Refusal>>> pendingDecisions = new HashMap<>();

    private RoutingDriver(ControlLoop control, Clock clock, RoutingPolicy policy) {
        this.control = control;
        this.clock = clock;
        this.policy = policy;
    }

    /** Returns a driver of {@code policy}, which from then on is used by the control thread only. */
    public static RoutingDriver create(ControlLoop control, Clock clock, RoutingPolicy policy) {
        return new RoutingDriver(control, clock, policy);
    }

    /** Returns a future of the first decision on a request; it is incomplete while the policy queues the request. */
    public CompletableFuture<Result<PlacedAttempt, Refusal>> requestArrived(RequestFacts facts) {
        return postForDecision(facts.id(), new RoutingEvent.RequestArrived(facts));
    }

    /** Returns a future of the decision that follows a failed attempt. */
    public CompletableFuture<Result<PlacedAttempt, Refusal>> attemptFailed(
            AttemptId attempt, AttemptOutcome.Failed outcome) {
        return postForDecision(attempt.request(), new RoutingEvent.AttemptEnded(attempt, outcome));
    }

    /** Posts an event that needs no decision. */
    public void post(RoutingEvent event) {
        control.post(() -> apply(event));
    }

    private CompletableFuture<Result<PlacedAttempt, Refusal>> postForDecision(RequestId request, RoutingEvent event) {
        CompletableFuture<Result<PlacedAttempt, Refusal>> decision = new CompletableFuture<>();
        control.post(() -> {
            pendingDecisions.put(request, decision);
            apply(event);
        });
        return decision;
    }

    private void apply(RoutingEvent event) {
        List<RoutingAction> actions = policy.on(event, clock.elapsed());
        actions.forEach(this::execute);
        if (event instanceof RoutingEvent.RequestAbandoned abandoned) {
            pendingDecisions.remove(abandoned.request());
        }
    }

    private void execute(RoutingAction action) {
        switch (action) {
            case RoutingAction.Place place ->
                complete(place.attempt().request(), Result.ok(new PlacedAttempt(place.attempt(), place.placement())));
            case RoutingAction.Refuse refuse -> complete(refuse.request(), Result.err(refuse.refusal()));
        }
    }

    private void complete(RequestId request, Result<PlacedAttempt, Refusal> decision) {
        CompletableFuture<Result<PlacedAttempt, Refusal>> future = pendingDecisions.remove(request);
        if (future != null) {
            future.complete(decision);
        }
    }
}
