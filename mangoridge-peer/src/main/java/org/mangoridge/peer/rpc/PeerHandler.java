package org.mangoridge.peer.rpc;

import org.mangoridge.core.id.Generation;
import org.mangoridge.peer.membership.GossipMessage;

/** Answers the calls of peers; called on one thread per connection, and may block for a short bounded time. */
public interface PeerHandler {

    /** Returns the answer to a gossip message. */
    GossipMessage exchange(GossipMessage message);

    /** Returns the configuration in force if it is newer than {@code known}. */
    PeerConfig config(Generation known);
}
