package org.mangoridge.peer.membership;

import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;

/** An output of {@link Membership}: a message to send, or a change to report. */
public sealed interface MembershipAction {

    /**
     * Send a message and pass the answer, or its absence, back as an event.
     *
     * @param address the address to probe
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
     * An instance joined or came back.
     *
     * @param member its record
     */
    record Joined(Member member) implements MembershipAction {}

    /**
     * An instance did not answer a probe; it is believed dead unless it refutes this in time.
     *
     * @param owner the run
     */
    record Suspected(Owner owner) implements MembershipAction {}

    /**
     * A run of an instance is gone.
     *
     * @param owner the run
     * @param reason why it is gone
     */
    record Gone(Owner owner, GoneReason reason) implements MembershipAction {}

    /**
     * A peer reported its requests at each server.
     *
     * @param peer the peer
     * @param inFlight the number of requests in flight by server
     */
    record InFlightReported(InstanceId peer, Map<ServerId, Integer> inFlight) implements MembershipAction {}

    /**
     * A later run of this instance exists; this one must stop.
     *
     * @param later the later run
     */
    record Superseded(Owner later) implements MembershipAction {}
}
