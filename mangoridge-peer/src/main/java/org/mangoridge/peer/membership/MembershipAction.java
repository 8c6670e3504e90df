package org.mangoridge.peer.membership;

import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;

/** What the state machine of membership asks for or tells. */
public sealed interface MembershipAction {

    /**
     * Send a message and report the answer or its absence.
     *
     * @param address where to
     * @param message the message
     */
    record Probe(HostPort address, GossipMessage message) implements MembershipAction {}

    /**
     * Answer the message just received.
     *
     * @param message the answer
     */
    record Answer(GossipMessage message) implements MembershipAction {}

    /**
     * An instance is there, new or again.
     *
     * @param member its record
     */
    record Joined(Member member) implements MembershipAction {}

    /**
     * An instance failed to answer and is asked to contradict.
     *
     * @param owner the run
     */
    record Suspected(Owner owner) implements MembershipAction {}

    /**
     * A run of an instance is gone.
     *
     * @param owner the run
     * @param reason how it went
     */
    record Gone(Owner owner, GoneReason reason) implements MembershipAction {}

    /**
     * A peer told its requests at each server.
     *
     * @param peer the peer
     * @param inFlight the counts
     */
    record InFlightReported(InstanceId peer, Map<ServerId, Integer> inFlight) implements MembershipAction {}

    /**
     * Another run of this instance, started later, is in use; this one should end.
     *
     * @param later the later run
     */
    record Superseded(Owner later) implements MembershipAction {}
}
