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
 * What a fleet's membership costs on virtual time.
 *
 * @param size the instances
 * @param zones their zones
 * @param messagesPerSecond sent and received by a node
 * @param bytesPerSecond sent and received by a node
 * @param coreShare the share of a core that a node spends, measured on this machine with encoding
 * @param medianDetectionSeconds until all of the zone know of a kill
 * @param slowestDetectionSeconds the same, the slowest seen
 */
public record FleetCost(
        int size,
        int zones,
        double messagesPerSecond,
        double bytesPerSecond,
        double coreShare,
        double medianDetectionSeconds,
        double slowestDetectionSeconds) {

    private static final Duration COLD_START = Duration.ofSeconds(60);
    private static final Duration SPAN = Duration.ofSeconds(20);
    private static final Duration DETECTION_SPAN = Duration.ofSeconds(5);
    private static final int KILLS = 5;
    private static final int SERVERS_IN_FLIGHT = 20;
    private static final int RELAYS = 3;

    /** Measures a steady minute, then kills instances one after another. */
    public static FleetCost measure(long seed, int size, int zones, ToIntFunction<GossipMessage> sizer, Clock clock) {
        VirtualFleet fleet = VirtualFleet.settled(seed, size, zones);
        fleet.run(COLD_START);
        fleet.countWith(sizer);
        for (VirtualFleet.Node node : fleet.running()) {
            node.on(new MembershipEvent.InFlightCounted(counts()), answer -> {});
            node.sentBytes = 0;
            node.sentMessages = 0;
        }
        Duration began = clock.elapsed();
        fleet.run(SPAN);
        double spent = seconds(clock.elapsed().minus(began));
        long bytes = fleet.running().stream().mapToLong(node -> node.sentBytes).sum();
        long messages =
                fleet.running().stream().mapToLong(node -> node.sentMessages).sum();
        double nodeSeconds = size * seconds(SPAN);
        List<Double> detections = IntStream.range(0, Math.min(KILLS, size / zones - 1))
                .mapToObj(number -> detection(fleet, number * zones))
                .sorted()
                .toList();
        return new FleetCost(
                size,
                zones,
                2 * messages / nodeSeconds,
                2 * bytes / nodeSeconds,
                spent / nodeSeconds,
                detections.get(detections.size() / 2),
                detections.get(detections.size() - 1));
    }

    /** Returns a message that says only that its sender lives. */
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

    /** Describes a fleet whose every node sends a heartbeat a second to every other. */
    public static String allToAllLine(int size, int heartbeatBytes) {
        int messages = 2 * (size - 1);
        return String.format(
                "membership way=all-to-all size=%d messages/s=%d bytes/s=%d",
                size, messages, messages * heartbeatBytes);
    }

    /** Describes a fleet whose every node sends a heartbeat a second to a few relays, which answer with changes. */
    public static String relayLine(int size, int heartbeatBytes) {
        int messages = 2 * RELAYS;
        int relayMessages = 2 * (size - 1);
        return String.format(
                "membership way=relays size=%d messages/s=%d bytes/s=%d at-a-relay messages/s=%d bytes/s=%d",
                size, messages, messages * heartbeatBytes, relayMessages, relayMessages * heartbeatBytes);
    }

    /** Describes this fleet. */
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

    private static double detection(VirtualFleet fleet, int victim) {
        Duration killed = fleet.now();
        AvailabilityZone zone = fleet.node(victim).member.zone();
        fleet.kill(victim);
        fleet.run(DETECTION_SPAN);
        InstanceId id = VirtualFleet.id(victim);
        Map<InstanceId, Duration> learned = new HashMap<>();
        for (VirtualFleet.Note note : fleet.notes(MembershipAction.Gone.class, killed)) {
            if (((MembershipAction.Gone) note.action()).owner().instance().equals(id)) {
                learned.putIfAbsent(note.by(), note.at().minus(killed));
            }
        }
        return fleet.running().stream()
                .filter(node -> node.member.zone().equals(zone))
                .mapToDouble(node -> seconds(learned.getOrDefault(node.member.id(), DETECTION_SPAN)))
                .max()
                .orElse(0);
    }

    private static Map<ServerId, Integer> counts() {
        Map<ServerId, Integer> counts = new HashMap<>();
        for (int i = 0; i < SERVERS_IN_FLIGHT; i++) {
            counts.put(ServerId.of("decode-" + i), 2);
        }
        return counts;
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
