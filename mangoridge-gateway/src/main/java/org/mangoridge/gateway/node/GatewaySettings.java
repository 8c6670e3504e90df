package org.mangoridge.gateway.node;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;

/**
 * The start-up settings of an entry instance.
 *
 * @param instance its id
 * @param zone its availability zone
 * @param front the address on which it serves callers
 * @param ready the address on which it serves the readiness check
 * @param peer the address on which it exchanges load reports
 * @param metrics the address on which it serves its metrics
 * @param seeds addresses on which other instances may exchange load reports
 * @param memoryBytes the memory limit of the process
 * @param milliCores the CPU limit of the process, in thousandths of a core
 * @param maxDescriptors the file descriptor limit of the process
 * @param retryRatio the retries allowed per request
 * @param retryAllowance the retries allowed in addition per window, for all instances together
 * @param retryWindow the length of that window
 * @param drainNotice the time within which a server that drains must get no new requests
 * @param catchUpTime the time after the store has become reachable in which an instance must act on what the store says
 * @param reportInterval the interval at which a live server writes its entry
 * @param handoverDelay the least time between orders of two successive lease holders to the same server
 * @param grace the time from the shutdown signal until the process is killed
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
        double retryAllowance,
        Duration retryWindow,
        Duration drainNotice,
        Duration catchUpTime,
        Duration reportInterval,
        Duration handoverDelay,
        Duration grace) {

    public GatewaySettings {
        Checks.notNull(instance, "instance");
        Checks.notNull(zone, "zone");
        Checks.argument(memoryBytes > 0, "memory must be positive: %d", memoryBytes);
        Checks.argument(milliCores > 0, "processor time must be positive: %d", milliCores);
        Checks.argument(maxDescriptors > 0, "descriptors must be positive: %d", maxDescriptors);
        Checks.argument(retryRatio >= 0, "retry ratio must not be negative: %s", retryRatio);
        Checks.argument(retryAllowance >= 0, "retry allowance must not be negative: %s", retryAllowance);
        Checks.argument(retryWindow.isPositive(), "retry window must be positive: %s", retryWindow);
        Checks.argument(drainNotice.isPositive(), "drain notice must be positive: %s", drainNotice);
        Checks.argument(catchUpTime.isPositive(), "catch-up time must be positive: %s", catchUpTime);
        Checks.argument(reportInterval.isPositive(), "report interval must be positive: %s", reportInterval);
        Checks.argument(!handoverDelay.isNegative(), "handover delay must not be negative: %s", handoverDelay);
        Checks.argument(grace.isPositive(), "grace must be positive: %s", grace);
        seeds = List.copyOf(seeds);
    }
}
