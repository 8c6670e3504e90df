package org.mangoridge.peer.membership;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;

/** An input of {@link Membership}. */
public sealed interface MembershipEvent {

    /** A probe interval elapsed. */
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
     * @param address the address that was probed
     * @param message the answer
     */
    record ProbeAnswered(HostPort address, GossipMessage message) implements MembershipEvent {}

    /**
     * A probe was not answered.
     *
     * @param address the address that was probed
     * @param refused whether the connection was refused, which means that no process listens there
     */
    record ProbeFailed(HostPort address, boolean refused) implements MembershipEvent {}

    /**
     * The platform's list of instances was read.
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
     * The requests of this instance at each server were counted.
     *
     * @param inFlight the number of requests in flight by server
     */
    record InFlightCounted(Map<ServerId, Integer> inFlight) implements MembershipEvent {

        public InFlightCounted {
            inFlight = Map.copyOf(inFlight);
        }
    }
}
