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

/** Counts the attempts that a routing policy has at each server; used on the control thread. */
public final class InFlightCounter implements RoutingPolicy {

    private final RoutingPolicy policy;
    private final Map<RequestId, Placement> placed = new HashMap<>();
    private final Map<ServerId, Integer> counts = new HashMap<>();

    private InFlightCounter(RoutingPolicy policy) {
        this.policy = policy;
    }

    /** Returns a policy that decides as {@code policy} does and counts what comes of it. */
    public static InFlightCounter around(RoutingPolicy policy) {
        return new InFlightCounter(policy);
    }

    /** Returns how many attempts hold or will hold a decode slot at each server. */
    public Map<ServerId, Integer> counts() {
        return Map.copyOf(counts);
    }

    @Override
    public List<RoutingAction> on(RoutingEvent event, Duration now) {
        if (event instanceof RoutingEvent.AttemptEnded ended) {
            end(ended.attempt());
        }
        List<RoutingAction> actions = policy.on(event, now);
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Place place) {
                begin(place.attempt(), place.placement());
            }
        }
        return actions;
    }

    private void begin(AttemptId attempt, Placement placement) {
        end(attempt);
        placed.put(attempt.request(), placement);
        counts.merge(placement.decode(), 1, Integer::sum);
    }

    private void end(AttemptId attempt) {
        Placement placement = placed.remove(attempt.request());
        if (placement != null) {
            counts.computeIfPresent(placement.decode(), (server, count) -> count > 1 ? count - 1 : null);
        }
    }
}
