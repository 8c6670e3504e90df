package org.mangoridge.entry.peers;

import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.peer.membership.GoneReason;

/** Receives membership changes of other instances; called on the control thread, must not block. */
public interface PeerListener {

    /** Called when an incarnation of a peer is seen for the first time or returns after it was considered gone. */
    void peerJoined(Owner owner);

    /** Called when an incarnation of a peer is gone. */
    void peerGone(Owner owner, GoneReason reason);

    /** Called when a peer reports its number of in-flight requests at each server. */
    void inFlightReported(InstanceId peer, Map<ServerId, Integer> inFlight);

    /** Called when a later incarnation of this instance is in use. */
    void superseded(Owner later);
}
