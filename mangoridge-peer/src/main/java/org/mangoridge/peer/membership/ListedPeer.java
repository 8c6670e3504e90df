package org.mangoridge.peer.membership;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/**
 * An entry of the platform's list of instances. It gives an address to contact and does not mean that the instance is
 * live.
 *
 * @param id the instance
 * @param address the address that peers connect to
 */
public record ListedPeer(InstanceId id, HostPort address) {}
