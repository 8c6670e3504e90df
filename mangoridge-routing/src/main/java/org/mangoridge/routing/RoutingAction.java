package org.mangoridge.routing;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.Refusal;

/** An action that a routing policy requests. */
public sealed interface RoutingAction {

    /**
     * Starts an attempt.
     *
     * @param attempt the attempt
     * @param placement the servers and timeouts of the attempt
     */
    record Place(AttemptId attempt, Placement placement) implements RoutingAction {}

    /**
     * Refuses a request.
     *
     * @param request the request
     * @param refusal the reason and what to tell the caller
     */
    record Refuse(RequestId request, Refusal refusal) implements RoutingAction {}
}
