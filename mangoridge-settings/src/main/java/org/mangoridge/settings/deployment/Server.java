package org.mangoridge.settings.deployment;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;

/**
 * A backend server.
 *
 * @param id the name of the server
 * @param address the address on which it listens
 * @param zone the availability zone in which it runs
 * @param role which part of the work it does
 * @param service the service to which it belongs
 * @param checksFencing whether it refuses orders with an outdated fencing token
 */
public record Server(
        ServerId id,
        HostPort address,
        AvailabilityZone zone,
        ServerRole role,
        ServiceId service,
        boolean checksFencing) {}
