package org.mangoridge.peer.membership;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/**
 * An entry of the platform's list, which only says whom to ask.
 *
 * @param id the instance
 * @param address where peers connect
 */
public record ListedPeer(InstanceId id, HostPort address) {}
