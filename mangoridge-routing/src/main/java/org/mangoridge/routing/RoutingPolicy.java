package org.mangoridge.routing;

import java.time.Duration;
import java.util.List;

/** A state machine that makes routing decisions; not thread-safe. */
public interface RoutingPolicy {

    /**
     * Processes an event and returns the actions to take.
     *
     * @param event the event
     * @param now the monotonic time, which never decreases between calls
     */
    List<RoutingAction> on(RoutingEvent event, Duration now);
}
