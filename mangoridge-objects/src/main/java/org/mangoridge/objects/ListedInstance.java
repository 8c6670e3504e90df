package org.mangoridge.objects;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/**
 * An entry in the platform's list of instances, which lags behind their actual state.
 *
 * @param id the id of the instance
 * @param zone its availability zone
 * @param peerAddress the address at which it accepts connections from other instances
 * @param leaving whether the platform is about to remove the instance
 */
public record ListedInstance(InstanceId id, AvailabilityZone zone, HostPort peerAddress, boolean leaving) {}
