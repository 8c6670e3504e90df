package org.mangoridge.gateway.node;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/**
 * What an entry instance is told at its start.
 *
 * @param instance its id
 * @param zone where it runs
 * @param front where it listens for callers
 * @param ready where it tells whether it is ready
 * @param peer where it exchanges load reports
 * @param metrics where it serves its metrics
 * @param seeds where other instances may exchange load reports
 * @param memoryBytes the memory of the process
 * @param milliCores the processor time that the process may use, in thousandths of a core
 * @param maxDescriptors the descriptors of the process
 * @param retryRatio requests sent once more that are allowed for each request
 * @param retryAllowance requests sent once more that all instances are allowed besides, in a window
 * @param retryWindow the length of that window
 * @param handoverDelay how far apart orders of two holders of the lease to one server must be
 * @param grace how long the process has from the signal to end until it is killed
 */
public record GatewaySettings(
        InstanceId instance,
        AvailabilityZone zone,
        HostPort front,
        HostPort ready,
        HostPort peer,
        HostPort metrics,
        List<HostPort> seeds,
        long memoryBytes,
        int milliCores,
        int maxDescriptors,
        double retryRatio,
        int retryAllowance,
        Duration retryWindow,
        Duration handoverDelay,
        Duration grace) {

    public GatewaySettings {
        Checks.notNull(instance, "instance");
        Checks.notNull(zone, "zone");
        Checks.argument(memoryBytes > 0, "memory must be positive: %d", memoryBytes);
        Checks.argument(milliCores > 0, "processor time must be positive: %d", milliCores);
        Checks.argument(maxDescriptors > 0, "descriptors must be positive: %d", maxDescriptors);
        Checks.argument(grace.isPositive(), "grace must be positive: %s", grace);
        seeds = List.copyOf(seeds);
    }
}
