package org.mangoridge.routing;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.Deployment;

/** An event that a routing policy reacts to. */
public sealed interface RoutingEvent {

    /**
     * A configuration took effect.
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
     * A server did not answer a load query.
     *
     * @param server the server
     */
    record LoadReportMissed(ServerId server) implements RoutingEvent {}

    /**
     * A request arrived.
     *
     * @param facts the properties of the request
     */
    record RequestArrived(RequestFacts facts) implements RoutingEvent {}

    /**
     * A caller disconnected while its request was queued.
     *
     * @param request the request
     */
    record RequestAbandoned(RequestId request) implements RoutingEvent {}

    /**
     * A prefill completed.
     *
     * @param attempt the attempt
     * @param promptTokens the actual length of the prompt in tokens
     * @param cachedTokens how many of them were cached
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
     * @param outcome its outcome
     */
    record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements RoutingEvent {}

    /**
     * A server is about to leave the service and must get no new attempts.
     *
     * @param server the server
     */
    record ServerLeaving(ServerId server) implements RoutingEvent {}

    /**
     * Another instance reported how many requests it has in flight on each server.
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
     * Another instance has gone; its requests are no longer counted.
     *
     * @param peer the instance
     */
    record PeerGone(InstanceId peer) implements RoutingEvent {}

    /**
     * A server reported changes of its prefix cache; reports may be late or incomplete.
     *
     * @param server the server
     * @param changes the changes, the oldest first
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

    /** A periodic tick for timers. */
    record Tick() implements RoutingEvent {}
}
