package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;

import static com.google.common.truth.Truth.assertThat;

class ServerRateLimiterTest {

    private static final ServiceId SERVICE = ServiceId.of("desk");
    private static final ServerEntry SERVER = new ServerEntry(
            ServerId.of("s-1"),
            SERVICE,
            new HostPort("127.0.0.1", 1),
            AvailabilityZone.of("a"),
            6,
            false,
            ServerStage.NONE,
            1,
            ServerEntry.UNKNOWN_SEQUENCE);
    private static final Duration TICK = Duration.ofMillis(250);

    private final ServerRateLimiter limiter = ServerRateLimiter.create(InstanceId.of("entry-1"));
    private Duration now = Duration.ofSeconds(50);

    private void announce(double limit) {
        limiter.recordAnswer(SERVER, Optional.of(new RateLimit(limit)), now, now);
    }

    private void run(Duration time) {
        Duration end = now.plus(time);
        while (now.compareTo(end) < 0) {
            limiter.tick(now);
            limiter.share(SERVER, now);
            now = now.plus(TICK);
        }
    }

    /** Sends as much as is allowed for some time; returns the number of requests. */
    private int send(Duration time) {
        int sent = 0;
        Duration end = now.plus(time);
        while (now.compareTo(end) < 0) {
            limiter.tick(now);
            while (limiter.permits(SERVER, now)) {
                limiter.take(SERVER, now);
                sent++;
            }
            now = now.plus(TICK);
        }
        return sent;
    }

    private double share() {
        return limiter.share(SERVER, now).orElseThrow().requestsPerSecond();
    }

    @Test
    void anInstanceThatHasJustStartedHasNoShare() {
        announce(8);
        run(Duration.ofSeconds(3));
        assertThat(limiter.permits(SERVER, now)).isFalse();
        run(Duration.ofSeconds(2));
        assertThat(limiter.permits(SERVER, now)).isTrue();
    }

    @Test
    void anInstanceThatStoodStillHasNoShareUntilItHasHeardOthersAgain() {
        announce(8);
        run(Duration.ofSeconds(8));
        assertThat(limiter.permits(SERVER, now)).isTrue();
        now = now.plusSeconds(5);
        run(Duration.ofSeconds(1));
        assertThat(limiter.permits(SERVER, now)).isFalse();
        run(Duration.ofSeconds(4));
        assertThat(limiter.permits(SERVER, now)).isTrue();
    }

    /** The share falls as soon as a peer is heard, and rises only after the others have had time to hear. */
    @Test
    void aShareFallsAtOnceAndRisesLater() {
        announce(8);
        run(Duration.ofSeconds(6));
        assertThat(share()).isWithin(0.01).of(8);
        limiter.peerHeard(InstanceId.of("entry-2"), Map.of());
        run(Duration.ofMillis(750));
        assertThat(share()).isWithin(0.01).of(4);
        limiter.peerLeft(InstanceId.of("entry-2"));
        run(Duration.ofSeconds(3));
        assertThat(share()).isWithin(0.01).of(4);
        run(Duration.ofSeconds(3));
        assertThat(share()).isWithin(0.01).of(8);
    }

    /** A cut must not let both halves of a fleet use the whole limit. */
    @Test
    void aPeerThatIsNotHeardKeepsItsPart() {
        limiter.peerHeard(InstanceId.of("entry-2"), Map.of(SERVICE, 25));
        limiter.peerHeard(InstanceId.of("entry-3"), Map.of());
        announce(27);
        limiter.recordRequest(SERVICE, now);
        run(Duration.ofSeconds(6));
        double before = share();
        limiter.peerLost(InstanceId.of("entry-2"), now);
        for (int i = 0; i < 200; i++) {
            limiter.recordRequest(SERVICE, now);
        }
        run(Duration.ofSeconds(8));
        assertThat(share()).isAtLeast(before);
        assertThat(share()).isAtMost(27 * 0.1);
        run(Duration.ofSeconds(70));
        assertThat(share()).isAtLeast(27 * 0.4);
    }

    @ParameterizedTest
    @CsvSource({
        // limit, instances, most requests of this instance in 20 s
        "0, 1, 6",
        "0.4, 1, 10",
        "5, 1, 104",
        "5, 4, 28",
        "1000000000, 1, 2147483647"
    })
    void anInstanceSendsItsShare(double limit, int instances, int most) {
        for (int i = 2; i <= instances; i++) {
            limiter.peerHeard(InstanceId.of("entry-" + i), Map.of());
        }
        announce(limit);
        run(Duration.ofSeconds(5));
        int sent = limit > 1000 ? 1 : send(Duration.ofSeconds(20));
        assertThat(sent).isAtMost(most);
        assertThat(sent).isAtLeast(1);
    }

    @Test
    void aPermitThatIsGivenBackIsUsedByAnother() {
        announce(1);
        run(Duration.ofSeconds(8));
        limiter.take(SERVER, now);
        assertThat(limiter.permits(SERVER, now)).isFalse();
        limiter.giveBack(SERVER);
        assertThat(limiter.permits(SERVER, now)).isTrue();
    }

    @Test
    void refusedCallersAreToldToReturnOneAfterTheOther() {
        announce(2);
        run(Duration.ofSeconds(5));
        assertThat(limiter.nextReturn(SERVICE, List.of(SERVER), now)).isEqualTo(Duration.ofMillis(500));
        assertThat(limiter.nextReturn(SERVICE, List.of(SERVER), now)).isEqualTo(Duration.ofMillis(1000));
        for (int i = 0; i < 100; i++) {
            assertThat(limiter.nextReturn(SERVICE, List.of(SERVER), now)).isAtMost(Duration.ofSeconds(10));
        }
    }

    @Test
    void withoutALimitEveryRequestMayBeSent() {
        assertThat(limiter.permits(SERVER, now)).isTrue();
        assertThat(limiter.share(SERVER, now)).isEmpty();
        assertThat(limiter.statuses(now)).isEmpty();
    }
}
