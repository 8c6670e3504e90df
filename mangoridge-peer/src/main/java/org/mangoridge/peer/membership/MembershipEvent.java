package org.mangoridge.peer.membership;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;

/** What the state machine of membership reacts to. */
public sealed interface MembershipEvent {

    /** A probe period passed. */
    record Tick() implements MembershipEvent {}

    /**
     * A peer sent a message and waits for the answer.
     *
     * @param message the message
     */
    record Received(GossipMessage message) implements MembershipEvent {}

    /**
     * A probe was answered.
     *
     * @param address whom it went to
     * @param message the answer
     */
    record ProbeAnswered(HostPort address, GossipMessage message) implements MembershipEvent {}

    /**
     * A probe was not answered.
     *
     * @param address whom it went to
     * @param refused whether the machine answered that nothing listens there
     */
    record ProbeFailed(HostPort address, boolean refused) implements MembershipEvent {}

    /**
     * The platform's list was read.
     *
     * @param peers its entries
     */
    record Listed(List<ListedPeer> peers) implements MembershipEvent {

        public Listed {
            peers = List.copyOf(peers);
        }
    }

    /**
     * This instance changed its own state.
     *
     * @param state the new state
     */
    record StateChanged(ServingState state) implements MembershipEvent {}

    /**
     * This instance adopted a configuration.
     *
     * @param generation its generation
     */
    record ConfigAdopted(Generation generation) implements MembershipEvent {}

    /**
     * The requests that this instance has at each server.
     *
     * @param inFlight the counts
     */
    record InFlightCounted(Map<ServerId, Integer> inFlight) implements MembershipEvent {

        public InFlightCounted {
            inFlight = Map.copyOf(inFlight);
        }
    }
}
