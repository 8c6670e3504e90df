package org.mangoridge.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;

import static com.google.common.truth.Truth.assertThat;

class AdmissionTest {

    private static RoutingFixture fixture() {
        return RoutingFixture.current(3)
                .server("p-1", "prefill", "a")
                .server("d-1", "decode", "a")
                .caller("counter", "counter", "desk")
                .caller("burst", "counter", "burst")
                .caller("member-1", "tender", "one")
                .caller("member-2", "tender", "two")
                .adopt();
    }

    @Test
    void requestThatCanWaitIsQueuedWhileServersAreFull() {
        RoutingFixture fixture = fixture();
        fixture.reportSlotsOfOthers("d-1", RoutingFixture.SLOTS);
        assertThat(fixture.send("member-1", 100, 8)).isEmpty();
        assertThat(fixture.advance(Duration.ofSeconds(1))).isEmpty();
        fixture.reportSlotsOfOthers("d-1", 0);
        assertThat(RoutingFixture.places(fixture.advance(Duration.ofMillis(20))))
                .hasSize(0);
        assertThat(fixture.advance(Duration.ofSeconds(1))).isEmpty();
    }

    @Test
    void workspacesTakeTurns() {
        RoutingFixture fixture = fixture();
        fixture.reportSlotsOfOthers("d-1", RoutingFixture.SLOTS);
        for (int i = 0; i < 6; i++) {
            fixture.send("member-1", 100, 8);
        }
        fixture.send("member-2", 100, 8);
        List<RequestId> started = new ArrayList<>();
        RoutingFixture.places(fixture.reportSlotsOfOthers("d-1", RoutingFixture.SLOTS - 3))
                .forEach(place -> started.add(place.attempt().request()));
        assertThat(started).hasSize(3);
        assertThat(started.subList(0, 2)).containsExactly(RequestId.of("entry-1-7-1"), RequestId.of("entry-1-7-7"));
    }

    @Test
    void queuedRequestIsRefusedWhenItCannotStartInTime() {
        RoutingFixture fixture = fixture();
        fixture.reportSlotsOfOthers("d-1", RoutingFixture.SLOTS);
        fixture.send("member-1", 100, 8);
        fixture.send("member-1", 100, 8);
        List<RoutingAction.Refuse> refused = RoutingFixture.refusals(fixture.advance(Duration.ofSeconds(10)));
        assertThat(refused).hasSize(2);
        refused.forEach(refusal -> {
            assertThat(refusal.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(refusal.refusal().retryAfter()).isPresent();
        });
        assertThat(fixture.advance(Duration.ofSeconds(1))).isEmpty();
    }

    @Test
    void burstOfOneWorkspaceLeavesCapacityForOthers() {
        RoutingFixture fixture = fixture();
        fixture.send("counter", 16, 8);
        List<RoutingAction> refused = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            refused.addAll(RoutingFixture.refusals(fixture.send("burst", 16, 8)));
        }
        assertThat(((RoutingAction.Refuse) refused.get(0)).refusal().reason()).isEqualTo(RefusalReason.CALLER_SHARE);
        assertThat(fixture.send("counter", 16, 8).get(0)).isInstanceOf(RoutingAction.Place.class);
    }

    @Test
    void abandonedRequestNeverStarts() {
        RoutingFixture fixture = fixture();
        fixture.reportSlotsOfOthers("d-1", RoutingFixture.SLOTS);
        fixture.send("member-1", 100, 8);
        fixture.apply(new RoutingEvent.RequestAbandoned(RequestId.of("entry-1-7-1")));
        fixture.reportSlotsOfOthers("d-1", 0);
        assertThat(fixture.advance(Duration.ofSeconds(12))).isEmpty();
    }

    @Test
    void requestsAreQueuedUntilTheFirstReports() {
        RoutingFixture fixture = RoutingFixture.current(3)
                .server("p-1", "prefill", "a")
                .server("d-1", "decode", "a")
                .caller("counter", "counter", "desk")
                .adoptWithoutReports();
        assertThat(fixture.send("counter", 16, 8)).isEmpty();
        assertThat(RoutingFixture.places(fixture.reportAll())).hasSize(1);
    }

    @Test
    void slotsAreReservedForRequestsThatCannotWait() {
        RoutingFixture fixture = fixture();
        Deque<AttemptId> decoding = new ArrayDeque<>();
        for (int i = 0; i < 300; i++) {
            RoutingAction.Place place = RoutingFixture.placed(fixture.send("counter", 16, 8));
            fixture.apply(new RoutingEvent.PrefillDone(place.attempt(), 16, 0));
            fixture.apply(new RoutingEvent.FirstTokenSent(place.attempt()));
            decoding.addLast(place.attempt());
            fixture.advance(Duration.ofMillis(100));
            if (decoding.size() > 10) {
                fixture.complete(decoding.removeFirst(), 50);
            }
        }
        decoding.forEach(attempt -> fixture.complete(attempt, 50));
        int started = 0;
        for (int i = 0; i < 30; i++) {
            started += RoutingFixture.places(fixture.send("member-1", 16, 8)).size();
        }
        assertThat(started).isAtLeast(1);
        assertThat(started).isAtMost(RoutingFixture.SLOTS - 10);
    }

    @Test
    void requestIsRefusedOnArrivalIfTheQueueIsTooLong() {
        RoutingFixture fixture = fixture();
        fixture.reportSlotsOfOthers("d-1", RoutingFixture.SLOTS);
        List<RoutingAction.Refuse> refused = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            refused.addAll(RoutingFixture.refusals(fixture.send("member-1", 16, 8)));
        }
        assertThat(refused).isNotEmpty();
        assertThat(refused.get(0).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void fewRequestsDoNotExhaustTheWorkspaceShare() {
        RoutingFixture fixture =
                RoutingFixture.current(3).server("p-1", "prefill", "a").server("d-1", "decode", "a");
        for (int i = 0; i < 24; i++) {
            fixture.caller("caller-" + i, "counter", "workspace-" + i);
        }
        fixture.adopt();
        for (int i = 0; i < 14; i++) {
            assertThat(fixture.send("caller-" + i, 16, 8).get(0)).isInstanceOf(RoutingAction.Place.class);
            fixture.tick(Duration.ofMillis(20));
        }
        fixture.reportSlotsOfOthers("d-1", 4);
        assertThat(fixture.send("caller-0", 16, 8).get(0)).isInstanceOf(RoutingAction.Place.class);
        assertThat(fixture.send("caller-0", 16, 8).get(0)).isInstanceOf(RoutingAction.Place.class);
    }
}
