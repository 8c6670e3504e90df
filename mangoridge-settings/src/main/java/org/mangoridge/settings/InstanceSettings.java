package org.mangoridge.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.settings.deployment.KeyHash;

/**
 * The settings of one entry instance.
 *
 * @param id the name of the instance
 * @param zone the availability zone in which it runs
 * @param callerAddress the address on which it listens for callers
 * @param peerAddress the address on which it listens for other instances
 * @param operatorAddress the address on which it listens for operators
 * @param platformAddress the address of the platform's object API
 * @param seeds the addresses of the peers that it contacts first to join the cluster
 * @param maxBodyBytes the size limit of a request body
 * @param drainDelay how long a shutdown still accepts requests until the load balancer has removed the instance
 * @param drainTimeout the time from the start of a shutdown until it cuts the requests still in progress
 * @param operators the hash of each operator's token, by operator name
 */
public record InstanceSettings(
        InstanceId id,
        AvailabilityZone zone,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort operatorAddress,
        HostPort platformAddress,
        List<HostPort> seeds,
        int maxBodyBytes,
        Duration drainDelay,
        Duration drainTimeout,
        Map<String, KeyHash> operators) {

    public InstanceSettings {
        seeds = List.copyOf(seeds);
        operators = Map.copyOf(operators);
    }
}
