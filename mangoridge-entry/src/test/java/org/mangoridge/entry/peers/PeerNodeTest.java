package org.mangoridge.entry.peers;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.peer.membership.GoneReason;
import org.mangoridge.peer.rpc.PeerConfig;
import org.mangoridge.peer.rpc.PeerFailure;
import org.mangoridge.routing.BaselinePolicy;
import org.mangoridge.settings.InstanceSettings;

import static com.google.common.truth.Truth.assertThat;

/** Runs several nodes in one process that communicate over real sockets. */
class PeerNodeTest {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final long SEED = 7;
    private static final long TIMEOUT_SECONDS = 20;

    /** A call of {@link PeerListener#peerGone} at the node {@code observer}. */
    private record PeerGone(InstanceId observer, Owner owner, GoneReason reason) {}

    private final BlockingQueue<PeerGone> gone = new LinkedBlockingQueue<>();
    private final BlockingQueue<InstanceId> inFlightReports = new LinkedBlockingQueue<>();
    private final Deque<AutoCloseable> closeables = new ArrayDeque<>();

    @AfterEach
    void closeAll() throws Exception {
        while (!closeables.isEmpty()) {
            closeables.pop().close();
        }
    }

    @Test
    void nodesDiscoverEachOtherAndDetectADeadPeer() throws InterruptedException {
        PeerNode one = node("one", 1, List.of());
        PeerNode two = node("two", 1, List.of(one.address()));
        node("three", 1, List.of(one.address()));
        awaitInFlightReports("two", "three");
        two.close();
        PeerGone first = gone.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(first).isNotNull();
        assertThat(first.owner().instance()).isEqualTo(InstanceId.of("two"));
        assertThat(first.reason()).isEqualTo(GoneReason.DEAD);
    }

    @Test
    void configurationIsReturnedOnlyIfNewerThanTheKnownGeneration() {
        PeerNode one = node("one", 1, List.of());
        PeerNode two = node("two", 1, List.of());
        Result<PeerConfig, PeerFailure> newer = one.fetchConfig(two.address(), Generation.of(3));
        assertThat(newer.value().content().orElseThrow().text()).isEqualTo("text");
        Result<PeerConfig, PeerFailure> same = one.fetchConfig(two.address(), Generation.of(4));
        assertThat(same.value().content().isPresent()).isFalse();
    }

    @Test
    void closedPortIsReportedAsRefused() {
        PeerNode one = node("one", 1, List.of());
        PeerNode two = node("two", 1, List.of());
        HostPort address = two.address();
        two.close();
        assertThat(one.fetchConfig(address, Generation.of(3)).error().refused()).isTrue();
    }

    private void awaitInFlightReports(String... names) throws InterruptedException {
        Set<InstanceId> missing = new HashSet<>();
        for (String name : names) {
            missing.add(InstanceId.of(name));
        }
        while (!missing.isEmpty()) {
            InstanceId peer = inFlightReports.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(peer).isNotNull();
            missing.remove(peer);
        }
    }

    private PeerNode node(String name, long incarnation, List<HostPort> seeds) {
        InstanceId id = InstanceId.of(name);
        ControlLoop control = closeLater(ControlLoop.start("control-" + name));
        InstanceSettings settings = new InstanceSettings(
                id,
                AvailabilityZone.of("zone-a"),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                seeds,
                1024,
                Duration.ZERO,
                Duration.ZERO,
                Map.of());
        PeerListener listener = new PeerListener() {
            @Override
            public void peerJoined(Owner owner) {}

            @Override
            public void peerGone(Owner owner, GoneReason reason) {
                gone.add(new PeerGone(id, owner, reason));
            }

            @Override
            public void inFlightReported(InstanceId peer, Map<ServerId, Integer> inFlight) {
                inFlightReports.add(peer);
            }

            @Override
            public void superseded(Owner later) {}
        };
        Random random = new Random(SEED);
        return closeLater(PeerNode.start(
                settings,
                new Owner(id, Incarnation.of(incarnation)),
                control,
                SystemClock.instance(),
                random,
                known -> known.isAfter(Generation.of(3))
                        ? PeerConfig.nothingNewer(Generation.of(4))
                        : new PeerConfig(Generation.of(4), Optional.of(new PeerConfig.Content("hash", "text"))),
                InFlightCounter.create(BaselinePolicy.create(random)),
                listener));
    }

    private <T extends AutoCloseable> T closeLater(T closeable) {
        closeables.push(closeable);
        return closeable;
    }
}
