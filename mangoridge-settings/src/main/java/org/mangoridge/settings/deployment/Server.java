package org.mangoridge.settings.deployment;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;

/**
 * A backend server.
 *
 * @param id its name
 * @param address where it listens
 * @param zone its availability zone
 * @param role what it does
 * @param service the service that it serves
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record Server(
        ServerId id,
        HostPort address,
        AvailabilityZone zone,
        ServerRole role,
        ServiceId service,
        boolean checksFencing) {}
