package org.mangoridge.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;

import static com.google.common.truth.Truth.assertThat;

class WaitingTest {

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
    void requestThatCanWaitIsQueuedAndStartsWhenThereIsRoom() {
        RoutingFixture fixture = fixture();
        fixture.othersHold("d-1", RoutingFixture.SLOTS);
        assertThat(fixture.send("member-1", 100, 8)).isEmpty();
        assertThat(fixture.advance(Duration.ofSeconds(1))).isEmpty();
        fixture.othersHold("d-1", 0);
        assertThat(RoutingFixture.places(fixture.advance(Duration.ofMillis(20))))
                .hasSize(0);
        assertThat(fixture.advance(Duration.ofSeconds(1))).isEmpty();
    }

    @Test
    void workspacesTakeTurns() {
        RoutingFixture fixture = fixture();
        fixture.othersHold("d-1", RoutingFixture.SLOTS);
        for (int i = 0; i < 6; i++) {
            fixture.send("member-1", 100, 8);
        }
        fixture.send("member-2", 100, 8);
        List<RequestId> started = new ArrayList<>();
        RoutingFixture.places(fixture.othersHold("d-1", RoutingFixture.SLOTS - 3))
                .forEach(place -> started.add(place.attempt().request()));
        assertThat(started).hasSize(3);
        assertThat(started.subList(0, 2)).containsExactly(RequestId.of("entry-1-7-1"), RequestId.of("entry-1-7-7"));
    }

    @Test
    void waitingEndsWithATrueRefusalOnceItIsHopeless() {
        RoutingFixture fixture = fixture();
        fixture.othersHold("d-1", RoutingFixture.SLOTS);
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
    void burstOfOneWorkspaceLeavesRoomToOthers() {
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
        fixture.othersHold("d-1", RoutingFixture.SLOTS);
        fixture.send("member-1", 100, 8);
        fixture.tell(new RoutingEvent.RequestAbandoned(RequestId.of("entry-1-7-1")));
        fixture.othersHold("d-1", 0);
        assertThat(fixture.advance(Duration.ofSeconds(12))).isEmpty();
    }

    @Test
    void requestsBeforeTheFirstReportsAreHeldForThem() {
        RoutingFixture fixture = RoutingFixture.current(3)
                .server("p-1", "prefill", "a")
                .server("d-1", "decode", "a")
                .caller("counter", "counter", "desk")
                .adoptWithoutReports();
        assertThat(fixture.send("counter", 16, 8)).isEmpty();
        assertThat(RoutingFixture.places(fixture.reportAll())).hasSize(1);
    }
}
