package org.mangoridge.peer.orphan;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;

/**
 * A backend server that may hold attempts of an instance that is gone.
 *
 * @param id the id of the server
 * @param zone its availability zone
 */
public record SweepTarget(ServerId id, AvailabilityZone zone) {}
