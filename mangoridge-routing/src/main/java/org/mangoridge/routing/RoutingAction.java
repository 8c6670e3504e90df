package org.mangoridge.routing;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.Refusal;

/** What routing decisions ask for. */
public sealed interface RoutingAction {

    /**
     * Start an attempt.
     *
     * @param attempt the attempt
     * @param placement its servers
     */
    record Place(AttemptId attempt, Placement placement) implements RoutingAction {}

    /**
     * Refuse a request at once.
     *
     * @param request the request
     * @param refusal the answer
     */
    record Refuse(RequestId request, Refusal refusal) implements RoutingAction {}
}
