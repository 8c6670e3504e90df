package org.mangoridge.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class PlacementTest {

    private static RoutingFixture twoZones(long seed) {
        return RoutingFixture.current(seed)
                .server("p-a", "prefill", "a")
                .server("p-b", "prefill", "b")
                .server("d-a", "decode", "a")
                .server("d-b", "decode", "b")
                .caller("counter", "counter", "counter")
                .adopt();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void idleServersAcceptAllPrompts(long seed) {
        RoutingFixture fixture = twoZones(seed);
        for (int prompt : new int[] {1, 16, 500, 2000, 4000}) {
            List<RoutingAction> actions = fixture.send("counter", prompt, 64);
            assertWithMessage("seed %s prompt %s", seed, prompt)
                    .that(actions.get(0))
                    .isInstanceOf(RoutingAction.Place.class);
            RoutingAction.Place place = RoutingFixture.placed(actions);
            assertThat(fixture.zone(place.placement().decode())).isEqualTo("a");
            assertThat(place.placement().reserveFirst()).isTrue();
            fixture.complete(place.attempt(), 10);
            fixture.advance(Duration.ofSeconds(1));
        }
    }

    @Test
    void fullZoneSpillsOverToAnotherZone() {
        RoutingFixture fixture = twoZones(1);
        fixture.reportSlotsOfOthers("d-a", RoutingFixture.SLOTS);
        RoutingAction.Place place = RoutingFixture.placed(fixture.send("counter", 100, 64));
        assertThat(place.placement().decode()).isEqualTo(ServerId.of("d-b"));
    }

    @Test
    void attemptsSinceLastReportCountAsUsedSlots() {
        RoutingFixture fixture = twoZones(1);
        fixture.reportSlotsOfOthers("d-a", 18);
        fixture.reportSlotsOfOthers("d-b", 18);
        Map<ServerId, Integer> sent = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            sent.merge(
                    RoutingFixture.placed(fixture.send("counter", 16, 8))
                            .placement()
                            .decode(),
                    1,
                    Integer::sum);
        }
        assertThat(sent).containsExactly(ServerId.of("d-a"), 2, ServerId.of("d-b"), 2);
        RoutingAction.Refuse refused = RoutingFixture.refused(fixture.send("counter", 16, 8));
        assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.NO_CAPACITY);
        assertThat(refused.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refused.refusal().retryAfter()).isPresent();
    }

    @Test
    void reportedAttemptsAreNotCountedTwice() {
        RoutingFixture fixture = twoZones(1);
        IntStream.range(0, 10).forEach(i -> {
            fixture.send("counter", 16, 8);
            fixture.reportAll();
        });
        fixture.reportSlotsOfOthers("d-a", 9);
        assertThat(RoutingFixture.placed(fixture.send("counter", 16, 8))
                        .placement()
                        .decode())
                .isNotNull();
    }

    @Test
    void peerRequestsCountBetweenReports() {
        RoutingFixture fixture = twoZones(1);
        fixture.tick(Duration.ofMillis(1));
        InstanceId peer = InstanceId.of("entry-2");
        fixture.apply(new RoutingEvent.PeerInFlight(peer, Map.of(ServerId.of("d-a"), 20)));
        assertThat(RoutingFixture.placed(fixture.send("counter", 16, 8))
                        .placement()
                        .decode())
                .isEqualTo(ServerId.of("d-b"));
        fixture.apply(new RoutingEvent.PeerGone(peer));
        assertThat(RoutingFixture.placed(fixture.send("counter", 16, 8))
                        .placement()
                        .decode())
                .isEqualTo(ServerId.of("d-a"));
    }

    @Test
    void longPrefillQueueRefusesImmediately() {
        RoutingFixture fixture = twoZones(1);
        fixture.reportPrefillQueue("p-a", 20_000);
        fixture.reportPrefillQueue("p-b", 20_000);
        RoutingAction.Refuse refused = RoutingFixture.refused(fixture.send("counter", 100, 8));
        assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.TARGET_UNREACHABLE);
        assertThat(refused.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void prefillQueueEstimateDrainsAtPrefillRate() {
        RoutingFixture fixture = twoZones(1);
        fixture.reportPrefillQueue("p-a", 10_000);
        fixture.reportPrefillQueue("p-b", 10_000);
        fixture.tick(Duration.ofMillis(400));
        assertThat(fixture.send("counter", 100, 8).get(0)).isInstanceOf(RoutingAction.Place.class);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leavingServerGetsNoNewAttempts(boolean byEvent) {
        RoutingFixture fixture = twoZones(1);
        if (byEvent) {
            fixture.apply(new RoutingEvent.ServerLeaving(ServerId.of("d-a")));
        } else {
            fixture.report(ServerId.of("d-a"), "2");
        }
        for (int i = 0; i < 8; i++) {
            assertThat(RoutingFixture.placed(fixture.send("counter", 16, 8))
                            .placement()
                            .decode())
                    .isEqualTo(ServerId.of("d-b"));
        }
    }

    @Test
    void silentServerIsNotAssumedIdle() {
        RoutingFixture fixture = twoZones(1);
        fixture.reportSlotsOfOthers("d-a", 19);
        fixture.reportSlotsOfOthers("d-b", 19);
        fixture.tick(Duration.ofMillis(1000));
        fixture.report(ServerId.of("d-b"), "1");
        fixture.report(ServerId.of("p-b"), "1");
        fixture.tick(Duration.ofMillis(1000));
        assertThat(RoutingFixture.placed(fixture.send("counter", 16, 8))
                        .placement()
                        .decode())
                .isEqualTo(ServerId.of("d-b"));
        assertThat(fixture.send("counter", 16, 8).get(0)).isInstanceOf(RoutingAction.Refuse.class);
    }

    @Test
    void slowDecodeServerIsAvoidedForTightTokenTargets() {
        RoutingFixture fixture = twoZones(1);
        for (int i = 0; i < 3; i++) {
            RoutingAction.Place place = RoutingFixture.placed(fixture.send("counter", 16, 8));
            assertThat(place.placement().decode()).isEqualTo(ServerId.of("d-a"));
            fixture.apply(new RoutingEvent.PrefillDone(place.attempt(), 16, 0));
            fixture.tick(Duration.ofMillis(100));
            fixture.apply(new RoutingEvent.FirstTokenSent(place.attempt()));
            fixture.advance(Duration.ofSeconds(1));
            fixture.complete(place.attempt(), 10);
            if (i == 0) {
                break;
            }
        }
        assertThat(RoutingFixture.placed(fixture.send("counter", 16, 8))
                        .placement()
                        .decode())
                .isEqualTo(ServerId.of("d-b"));
    }

    @Test
    void cachedPrefixOutweighsRemoteZoneUntilServerIsBusy() {
        RoutingFixture fixture = twoZones(1);
        List<Long> prefixes = LongStream.range(0, 12).boxed().toList();
        fixture.apply(new RoutingEvent.CacheChanged(
                ServerId.of("p-b"),
                prefixes.stream()
                        .map(prefix -> new RoutingEvent.CacheChange(prefix, true))
                        .toList()));
        assertThat(RoutingFixture.placed(fixture.send("counter", 3100, 8, prefixes))
                        .placement()
                        .prefill())
                .isEqualTo(ServerId.of("p-b"));
        fixture.reportPrefillQueue("p-b", 6000);
        assertThat(RoutingFixture.placed(fixture.send("counter", 3100, 8, prefixes))
                        .placement()
                        .prefill())
                .isEqualTo(ServerId.of("p-a"));
    }

    @Test
    void busyPrefillServerMovesShortPromptsToDecodeServer() {
        RoutingFixture fixture = RoutingFixture.current(1)
                .server("p-1", "prefill", "a")
                .server("b-1", "both", "a")
                .caller("counter", "counter", "counter")
                .adopt();
        fixture.reportPrefillQueue("p-1", 3000);
        RoutingAction.Place local = RoutingFixture.placed(fixture.send("counter", 30, 8));
        assertThat(local.placement().needsTransfer()).isFalse();
        fixture.reportPrefillQueue("p-1", 0);
        fixture.reportPrefillQueue("b-1", 3000);
        assertThat(RoutingFixture.placed(fixture.send("counter", 2000, 8))
                        .placement()
                        .prefill())
                .isEqualTo(ServerId.of("p-1"));
    }
}
