package org.mangoridge.entry.peers;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.routing.Placement;
import org.mangoridge.routing.RoutingAction;
import org.mangoridge.routing.RoutingEvent;
import org.mangoridge.routing.RoutingPolicy;

/** Counts the in-flight attempts of a routing policy for each server; used on the control thread only. */
public final class InFlightCounter implements RoutingPolicy {

    private final RoutingPolicy policy;
    private final Map<RequestId, Placement> placements = new HashMap<>();
    private final Map<ServerId, Integer> counts = new HashMap<>();

    private InFlightCounter(RoutingPolicy policy) {
        this.policy = policy;
    }

    /** Returns a policy that delegates to {@code policy} and counts the attempts that it places. */
    public static InFlightCounter create(RoutingPolicy policy) {
        return new InFlightCounter(policy);
    }

    /** Returns, for each server, the number of attempts that hold or will hold a decode slot there. */
    public Map<ServerId, Integer> counts() {
        return Map.copyOf(counts);
    }

    @Override
    public List<RoutingAction> on(RoutingEvent event, Duration now) {
        if (event instanceof RoutingEvent.AttemptEnded ended) {
            removeAttempt(ended.attempt());
        }
        List<RoutingAction> actions = policy.on(event, now);
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Place place) {
                addAttempt(place.attempt(), place.placement());
            }
        }
        return actions;
    }

    private void addAttempt(AttemptId attempt, Placement placement) {
        removeAttempt(attempt);
        placements.put(attempt.request(), placement);
        counts.merge(placement.decode(), 1, Integer::sum);
    }

    private void removeAttempt(AttemptId attempt) {
        Placement placement = placements.remove(attempt.request());
        if (placement != null) {
            counts.computeIfPresent(placement.decode(), (server, count) -> count > 1 ? count - 1 : null);
        }
    }
}
