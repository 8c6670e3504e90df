package org.mangoridge.peer.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;

/**
 * The cost of gossip membership in a simulated fleet.
 *
 * @param size the number of instances
 * @param zones the number of zones
 * @param messagesPerSecond messages sent and received per node and second
 * @param bytesPerSecond bytes sent and received per node and second
 * @param coreShare the share of a CPU core that a node uses, with encoding, by the real clock
 * @param medianDetectionSeconds the median time until all nodes of the zone detected a killed node
 * @param slowestDetectionSeconds the longest such time
 */
public record FleetCost(
        int size,
        int zones,
        double messagesPerSecond,
        double bytesPerSecond,
        double coreShare,
        double medianDetectionSeconds,
        double slowestDetectionSeconds) {

    private static final Duration WARM_UP = Duration.ofSeconds(60);
    private static final Duration TRAFFIC_SPAN = Duration.ofSeconds(20);
    private static final Duration DETECTION_SPAN = Duration.ofSeconds(5);
    private static final int KILLS = 5;
    private static final int SERVERS_WITH_REQUESTS = 20;
    private static final int RELAYS = 3;

    /** Measures the steady traffic after a warm-up, then kills instances one after another. */
    public static FleetCost measure(long seed, int size, int zones, ToIntFunction<GossipMessage> sizer, Clock clock) {
        VirtualFleet fleet = VirtualFleet.converged(seed, size, zones);
        fleet.run(WARM_UP);
        fleet.measureSizesWith(sizer);
        for (VirtualFleet.Node node : fleet.running()) {
            node.on(new MembershipEvent.InFlightCounted(counts()), answer -> {});
            node.sentBytes = 0;
            node.sentMessages = 0;
        }
        Duration start = clock.elapsed();
        fleet.run(TRAFFIC_SPAN);
        double elapsedSeconds = seconds(clock.elapsed().minus(start));
        long bytes = fleet.running().stream().mapToLong(node -> node.sentBytes).sum();
        long messages =
                fleet.running().stream().mapToLong(node -> node.sentMessages).sum();
        double nodeSeconds = size * seconds(TRAFFIC_SPAN);
        List<Double> detections = IntStream.range(0, Math.min(KILLS, size / zones - 1))
                .mapToObj(number -> detectionSeconds(fleet, number * zones))
                .sorted()
                .toList();
        return new FleetCost(
                size,
                zones,
                2 * messages / nodeSeconds,
                2 * bytes / nodeSeconds,
                elapsedSeconds / nodeSeconds,
                detections.get(detections.size() / 2),
                detections.get(detections.size() - 1));
    }

    /** Returns a gossip message without updates. */
    public static GossipMessage heartbeat() {
        Member member = new Member(
                InstanceId.of("entry-100"),
                Incarnation.of(1_790_000_000_000L),
                AvailabilityZone.of("zone-1"),
                HostPort.parse("10.0.1.100:7400"),
                ServingState.SERVING,
                Generation.of(1));
        return new GossipMessage(new MemberRecord(member, 1, Liveness.ALIVE), List.of(), counts(), 1L << 60, false);
    }

    /** Returns a report line for heartbeats from every node to every other, one a second. */
    public static String allToAllLine(int size, int heartbeatBytes) {
        int messages = 2 * (size - 1);
        return String.format(
                "membership way=all-to-all size=%d messages/s=%d bytes/s=%d",
                size, messages, messages * heartbeatBytes);
    }

    /** Returns a report line for heartbeats from every node to a few relays, one a second, answered with updates. */
    public static String relayLine(int size, int heartbeatBytes) {
        int messages = 2 * RELAYS;
        int relayMessages = 2 * (size - 1);
        return String.format(
                "membership way=relays size=%d messages/s=%d bytes/s=%d at-a-relay messages/s=%d bytes/s=%d",
                size, messages, messages * heartbeatBytes, relayMessages, relayMessages * heartbeatBytes);
    }

    /** Returns the report line of this fleet. */
    public String line() {
        return String.format(
                "membership way=gossip size=%d zones=%d messages/s=%.1f bytes/s=%.0f core=%.4f%%"
                        + " detection-median=%.2fs detection-slowest=%.2fs",
                size,
                zones,
                messagesPerSecond,
                bytesPerSecond,
                100 * coreShare,
                medianDetectionSeconds,
                slowestDetectionSeconds);
    }

    private static double detectionSeconds(VirtualFleet fleet, int victim) {
        Duration killedAt = fleet.now();
        AvailabilityZone zone = fleet.node(victim).member.zone();
        fleet.kill(victim);
        fleet.run(DETECTION_SPAN);
        InstanceId id = VirtualFleet.id(victim);
        Map<InstanceId, Duration> detectedAfter = new HashMap<>();
        for (VirtualFleet.RecordedAction recorded : fleet.actions(MembershipAction.Gone.class, killedAt)) {
            if (((MembershipAction.Gone) recorded.action()).owner().instance().equals(id)) {
                detectedAfter.putIfAbsent(recorded.by(), recorded.at().minus(killedAt));
            }
        }
        return fleet.running().stream()
                .filter(node -> node.member.zone().equals(zone))
                .mapToDouble(node -> seconds(detectedAfter.getOrDefault(node.member.id(), DETECTION_SPAN)))
                .max()
                .orElse(0);
    }

    private static Map<ServerId, Integer> counts() {
        Map<ServerId, Integer> counts = new HashMap<>();
        for (int i = 0; i < SERVERS_WITH_REQUESTS; i++) {
            counts.put(ServerId.of("decode-" + i), 2);
        }
        return counts;
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
