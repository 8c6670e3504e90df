package org.mangoridge.routing;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.Deployment;

/** What routing decisions react to. */
public sealed interface RoutingEvent {

    /**
     * A configuration came into force.
     *
     * @param deployment the configuration
     */
    record DeploymentAdopted(Deployment deployment) implements RoutingEvent {}

    /**
     * A server reported its load.
     *
     * @param server the server
     * @param load the report
     */
    record LoadReported(ServerId server, ServerLoad load) implements RoutingEvent {}

    /**
     * A server did not answer when asked for its load.
     *
     * @param server the server
     */
    record LoadReportMissed(ServerId server) implements RoutingEvent {}

    /**
     * A request arrived.
     *
     * @param facts what is known of it
     */
    record RequestArrived(RequestFacts facts) implements RoutingEvent {}

    /**
     * A caller went while its request was queued.
     *
     * @param request the request
     */
    record RequestAbandoned(RequestId request) implements RoutingEvent {}

    /**
     * A prefill was done.
     *
     * @param attempt the attempt
     * @param promptTokens the prompt's true length
     * @param cachedTokens how many of its tokens were cached
     */
    record PrefillDone(AttemptId attempt, int promptTokens, int cachedTokens) implements RoutingEvent {}

    /**
     * The first token was sent to the caller.
     *
     * @param attempt the attempt
     */
    record FirstTokenSent(AttemptId attempt) implements RoutingEvent {}

    /**
     * An attempt ended; a failed one is answered with a new placement or a refusal.
     *
     * @param attempt the attempt
     * @param outcome how it ended
     */
    record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements RoutingEvent {}

    /**
     * A server is about to leave and gets no new work.
     *
     * @param server the server
     */
    record ServerLeaving(ServerId server) implements RoutingEvent {}

    /**
     * Another instance told how many requests it has at each server.
     *
     * @param peer the instance
     * @param inFlight its requests by server
     */
    record PeerInFlight(InstanceId peer, Map<ServerId, Integer> inFlight) implements RoutingEvent {

        public PeerInFlight {
            inFlight = Map.copyOf(inFlight);
        }
    }

    /**
     * Another instance is gone; its requests no longer count.
     *
     * @param peer the instance
     */
    record PeerGone(InstanceId peer) implements RoutingEvent {}

    /**
     * A server told of changes of its prefix cache, late and with gaps.
     *
     * @param server the server
     * @param changes the changes in their order
     */
    record CacheChanged(ServerId server, List<CacheChange> changes) implements RoutingEvent {

        public CacheChanged {
            changes = List.copyOf(changes);
        }
    }

    /**
     * One change of a prefix cache.
     *
     * @param prefix the hash of the prefix
     * @param stored true when stored, false when evicted
     */
    record CacheChange(long prefix, boolean stored) {}

    /** Time passed. */
    record Tick() implements RoutingEvent {}
}
