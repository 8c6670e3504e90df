package org.mangoridge.bench.slope;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.peer.membership.GossipMessage;
import org.mangoridge.peer.membership.Liveness;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.MemberRecord;
import org.mangoridge.peer.membership.ServingState;
import org.mangoridge.peer.rpc.PeerCodec;
import org.mangoridge.peer.thrift.Gossip;
import org.mangoridge.routing.DecisionLatency;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.deployment.KeyHash;

/** Measures the slopes that one process can show by itself. */
public final class SlopeMeasurements {

    private static final List<Integer> SERVERS = List.of(10, 50, 100, 200);
    private static final List<Integer> CALLERS = List.of(200, 1000, 2800);
    private static final List<Integer> RECORDS = List.of(2, 8, 32);
    private static final int PARSE_ROUNDS = 12;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_KIB = 1024;
    private static final long SEED = 7;
    private static final int GENERATION = 12_000;

    private final Clock clock;

    private SlopeMeasurements(Clock clock) {
        this.clock = clock;
    }

    /** Returns measurements on {@code clock}, a real one. */
    public static SlopeMeasurements create(Clock clock) {
        return new SlopeMeasurements(clock);
    }

    /** Measures every slope; takes some seconds. */
    public List<Slope> measure() {
        DecisionLatency.measure(SERVERS.get(0), clock, new SplittableRandom(SEED));
        return List.of(
                slope("decision, microseconds at the median", "servers of a service", SERVERS, this::decisionMicros),
                slope("reading a configuration, milliseconds", "callers", CALLERS, this::parseMillis),
                slope(
                        "configuration text, KiB",
                        "callers",
                        CALLERS,
                        callers -> text(callers).length() / BYTES_PER_KIB),
                slope("configuration in memory, KiB", "callers", CALLERS, this::retainedKib),
                slope(
                        "gossip message, bytes",
                        "records of changed instances",
                        RECORDS,
                        SlopeMeasurements::gossipBytes));
    }

    private static Slope slope(String cost, String size, List<Integer> sizes, IntToDoubleFunction measure) {
        List<Slope.Point> points = new ArrayList<>();
        sizes.forEach(value -> points.add(new Slope.Point(value, measure.applyAsDouble(value))));
        return new Slope(cost, size, points);
    }

    private double decisionMicros(int servers) {
        return DecisionLatency.measure(servers, clock, new SplittableRandom(SEED))
                        .median()
                        .toNanos()
                / NANOS_PER_MICRO;
    }

    private double parseMillis(int callers) {
        String text = text(callers);
        Duration shortest = Duration.ofDays(1);
        for (int i = 0; i < PARSE_ROUNDS; i++) {
            Duration begun = clock.elapsed();
            DeploymentParser.parseText("slope", text).value();
            Duration took = clock.elapsed().minus(begun);
            shortest = took.compareTo(shortest) < 0 ? took : shortest;
        }
        return shortest.toNanos() / NANOS_PER_MILLI;
    }

    private double retainedKib(int callers) {
        String text = text(callers);
        long before = usedAfterCollection();
        Deployment deployment = DeploymentParser.parseText("slope", text).value();
        long after = usedAfterCollection();
        return deployment.callers().isEmpty() ? 0 : (after - before) / BYTES_PER_KIB;
    }

    private static long usedAfterCollection() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static String text(int callers) {
        KeyHash hash = KeyHash.of(new byte[8], "secret");
        StringBuilder text = new StringBuilder("[class counter]\nfirst-token = 340ms\nper-token = 39ms\n");
        for (int i = 0; i < callers; i++) {
            text.append("[caller caller-").append(i).append("]\nkey-hash = ").append(hash);
            text.append("\nclass = counter\nworkspace = workspace-").append(i).append('\n');
        }
        return text.toString();
    }

    private static double gossipBytes(int records) {
        List<MemberRecord> known = IntStream.rangeClosed(1, records)
                .mapToObj(SlopeMeasurements::memberRecord)
                .toList();
        Gossip gossip = PeerCodec.encode(new GossipMessage(memberRecord(0), known, Map.of(), SEED, false));
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(gossip).length;
        } catch (TException e) {
            throw new IllegalStateException("a message of our own can't be encoded", e);
        }
    }

    private static MemberRecord memberRecord(int number) {
        Member member = new Member(
                InstanceId.of("entry-" + number),
                Incarnation.of(1_796_000_000_000L + number),
                AvailabilityZone.of("scot-central-a"),
                HostPort.parse("10.20.30." + number + ":9000"),
                ServingState.SERVING,
                Generation.of(GENERATION));
        return new MemberRecord(member, GENERATION, Liveness.ALIVE);
    }
}
