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
 * @param id its name
 * @param zone its availability zone
 * @param callerAddress where callers connect
 * @param peerAddress where other instances connect
 * @param operatorAddress where operators connect
 * @param platformAddress the platform's object API
 * @param seeds peers to ask first
 * @param maxBodyBytes the largest request body
 * @param drainDelay how long a shutdown waits for the balancer before refusing new work
 * @param drainTimeout the longest that a shutdown waits for requests in progress
 * @param operators the hash of each operator's token by the operator's name
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
