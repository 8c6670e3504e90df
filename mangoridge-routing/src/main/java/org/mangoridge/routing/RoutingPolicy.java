package org.mangoridge.routing;

import java.time.Duration;
import java.util.List;

/** A routing decision as a state machine; used by one thread. */
public interface RoutingPolicy {

    /**
     * Takes an event and returns what to do.
     *
     * @param event what happened
     * @param now the monotonic time, never less than at the last call
     */
    List<RoutingAction> on(RoutingEvent event, Duration now);
}
