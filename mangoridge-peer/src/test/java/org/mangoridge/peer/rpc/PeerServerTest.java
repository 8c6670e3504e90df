package org.mangoridge.peer.rpc;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.peer.membership.GossipMessage;
import org.mangoridge.peer.membership.Liveness;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.MemberRecord;
import org.mangoridge.peer.membership.ServingState;

import static com.google.common.truth.Truth.assertThat;

class PeerServerTest {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final int SMALL_FRAME_BYTES = 4096;
    private static final PeerLimits LIMITS =
            new PeerLimits(SMALL_FRAME_BYTES, 4, Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofMinutes(1));

    private final PeerHandler echo = new PeerHandler() {
        @Override
        public GossipMessage exchange(GossipMessage message) {
            return message;
        }

        @Override
        public PeerConfig config(Generation known) {
            return PeerConfig.nothingNewer(known);
        }
    };

    @Test
    void messageIsReceivedAsSent() {
        try (PeerServer server = PeerServer.start(ANY_PORT, PeerSockets.plaintext(), LIMITS, echo);
                PeerClient client = client()) {
            GossipMessage message = message(3);
            assertThat(client.exchange(server.address(), message, TIMEOUT).value())
                    .isEqualTo(message);
        }
    }

    @Test
    void frameOverTheLimitClosesTheConnection() throws IOException {
        try (PeerServer server = PeerServer.start(ANY_PORT, PeerSockets.plaintext(), LIMITS, echo);
                Socket socket =
                        new Socket(server.address().host(), server.address().port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(SMALL_FRAME_BYTES * 1000);
            out.flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void silentServerIsReportedAsTimeoutAndNotAsRefused() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                PeerClient client = client()) {
            HostPort address = ANY_PORT.withPort(silent.getLocalPort());
            Result<GossipMessage, PeerFailure> result = client.exchange(address, message(0), SHORT_TIMEOUT);
            assertThat(result.error().refused()).isFalse();
        }
    }

    @Test
    void idleConnectionToARestartedServerIsReplaced() {
        try (PeerClient client = client()) {
            PeerServer first = PeerServer.start(ANY_PORT, PeerSockets.plaintext(), LIMITS, echo);
            HostPort address = first.address();
            assertThat(client.exchange(address, message(0), TIMEOUT).isOk()).isTrue();
            first.close();
            try (PeerServer second = PeerServer.start(address, PeerSockets.plaintext(), LIMITS, echo)) {
                assertThat(client.exchange(second.address(), message(0), TIMEOUT)
                                .isOk())
                        .isTrue();
            }
        }
    }

    private static PeerClient client() {
        return PeerClient.create(PeerSockets.plaintext(), LIMITS, SystemClock.instance(), new Random(1));
    }

    static GossipMessage message(int knownMembers) {
        List<MemberRecord> records = IntStream.range(0, knownMembers)
                .mapToObj(number -> memberRecord("entry-" + number))
                .toList();
        return new GossipMessage(memberRecord("sender"), records, Map.of(ServerId.of("decode-1"), 7), 42, false);
    }

    private static MemberRecord memberRecord(String name) {
        Member member = new Member(
                InstanceId.of(name),
                Incarnation.of(1_790_000_000_000L),
                AvailabilityZone.of("scot-central-a"),
                HostPort.parse("10.1.2.3:7400"),
                ServingState.SERVING,
                Generation.of(1200));
        return new MemberRecord(member, 5, Liveness.ALIVE);
    }
}
