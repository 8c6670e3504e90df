package org.mangoridge.objects;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/**
 * An entry in the platform's list of instances, which lags.
 *
 * @param id the instance
 * @param zone its availability zone
 * @param peerAddress where other instances connect to it
 * @param leaving whether the platform is about to remove it
 */
public record ListedInstance(InstanceId id, AvailabilityZone zone, HostPort peerAddress, boolean leaving) {}
