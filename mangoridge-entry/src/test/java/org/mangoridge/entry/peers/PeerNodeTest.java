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

/** Instances over real sockets in one process. */
class PeerNodeTest {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final long SEED = 7;
    private static final long PATIENCE_SECONDS = 20;

    /** What a listener heard. */
    private record Heard(InstanceId by, Owner owner, GoneReason reason) {}

    private final BlockingQueue<Heard> gone = new LinkedBlockingQueue<>();
    private final BlockingQueue<InstanceId> counted = new LinkedBlockingQueue<>();
    private final Deque<AutoCloseable> parts = new ArrayDeque<>();

    @AfterEach
    void closeAll() throws Exception {
        while (!parts.isEmpty()) {
            parts.pop().close();
        }
    }

    @Test
    void instancesMeetAndNoticeOneThatEnds() throws InterruptedException {
        PeerNode one = node("one", 1, List.of());
        PeerNode two = node("two", 1, List.of(one.address()));
        node("three", 1, List.of(one.address()));
        awaitCounted("two", "three");
        two.close();
        Heard first = gone.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertThat(first).isNotNull();
        assertThat(first.owner().instance()).isEqualTo(InstanceId.of("two"));
        assertThat(first.reason()).isEqualTo(GoneReason.DEAD);
    }

    @Test
    void aConfigurationIsAskedForByGeneration() {
        PeerNode one = node("one", 1, List.of());
        PeerNode two = node("two", 1, List.of());
        Result<PeerConfig, PeerFailure> newer = one.config(two.address(), Generation.of(3));
        assertThat(newer.value().content().orElseThrow().text()).isEqualTo("text");
        Result<PeerConfig, PeerFailure> same = one.config(two.address(), Generation.of(4));
        assertThat(same.value().content().isPresent()).isFalse();
    }

    @Test
    void nothingListeningIsToldApartFromSilence() {
        PeerNode one = node("one", 1, List.of());
        PeerNode two = node("two", 1, List.of());
        HostPort address = two.address();
        two.close();
        assertThat(one.config(address, Generation.of(3)).error().refused()).isTrue();
    }

    private void awaitCounted(String... names) throws InterruptedException {
        Set<InstanceId> missing = new HashSet<>();
        for (String name : names) {
            missing.add(InstanceId.of(name));
        }
        while (!missing.isEmpty()) {
            InstanceId heard = counted.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertThat(heard).isNotNull();
            missing.remove(heard);
        }
    }

    private PeerNode node(String name, long incarnation, List<HostPort> seeds) {
        InstanceId id = InstanceId.of(name);
        ControlLoop control = own(ControlLoop.start("control-" + name));
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
            public void joined(Owner owner) {}

            @Override
            public void gone(Owner owner, GoneReason reason) {
                gone.add(new Heard(id, owner, reason));
            }

            @Override
            public void counted(InstanceId peer, Map<ServerId, Integer> inFlight) {
                counted.add(peer);
            }

            @Override
            public void superseded(Owner later) {}
        };
        Random random = new Random(SEED);
        return own(PeerNode.start(
                settings,
                new Owner(id, Incarnation.of(incarnation)),
                control,
                SystemClock.instance(),
                random,
                known -> known.isAfter(Generation.of(3))
                        ? PeerConfig.nothingNewer(Generation.of(4))
                        : new PeerConfig(Generation.of(4), Optional.of(new PeerConfig.Content("hash", "text"))),
                InFlightCounter.around(BaselinePolicy.create(random)),
                listener));
    }

    private <T extends AutoCloseable> T own(T part) {
        parts.push(part);
        return part;
    }
}
