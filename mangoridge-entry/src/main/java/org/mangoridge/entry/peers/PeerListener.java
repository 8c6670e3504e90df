package org.mangoridge.entry.peers;

import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.peer.membership.GoneReason;

/** Hears what becomes of other instances; called on the control thread and must not block. */
public interface PeerListener {

    /** A run of a peer is there, new or again. */
    void joined(Owner owner);

    /** A run of a peer is gone. */
    void gone(Owner owner, GoneReason reason);

    /** A peer told its requests at each server. */
    void counted(InstanceId peer, Map<ServerId, Integer> inFlight);

    /** A later run of this instance is in use. */
    void superseded(Owner later);
}
