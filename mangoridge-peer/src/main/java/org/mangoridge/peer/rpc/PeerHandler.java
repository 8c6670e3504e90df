package org.mangoridge.peer.rpc;

import org.mangoridge.core.id.Generation;
import org.mangoridge.peer.membership.GossipMessage;

/** Answers peers; called on a thread for each connection, and may block for a short bounded time. */
public interface PeerHandler {

    /** Returns the answer to a round of gossip. */
    GossipMessage exchange(GossipMessage message);

    /** Returns the configuration in force if it is newer than {@code known}. */
    PeerConfig config(Generation known);
}
