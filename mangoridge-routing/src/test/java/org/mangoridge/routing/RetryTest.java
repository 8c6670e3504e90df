package org.mangoridge.routing;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.routing.AttemptOutcome.FailureKind;

import static com.google.common.truth.Truth.assertThat;

class RetryTest {

    private static RoutingFixture fixture(int decodeServers) {
        RoutingFixture fixture =
                RoutingFixture.current(5).server("p-1", "prefill", "a").server("p-2", "prefill", "a");
        for (int i = 1; i <= decodeServers; i++) {
            fixture.server("d-" + i, "decode", "a");
        }
        return fixture.caller("counter", "counter", "counter")
                .caller("member", "tender", "tender")
                .adopt();
    }

    @ParameterizedTest
    @EnumSource(FailureKind.class)
    void failedAttemptIsRetriedOnAnotherServer(FailureKind kind) {
        RoutingFixture fixture = fixture(2);
        AttemptId first = RoutingFixture.placed(fixture.send("counter", 16, 8)).attempt();
        ServerId failed = fixture.placement(first).decode();
        RoutingAction.Place second = RoutingFixture.placed(fixture.fail(first, kind, Verdict.MAY_HAVE_RUN, 0));
        assertThat(second.attempt()).isEqualTo(first.next());
        assertThat(second.placement().decode()).isNotEqualTo(failed);
    }

    @Test
    void outcomeOfSupersededAttemptIsIgnored() {
        RoutingFixture fixture = fixture(2);
        AttemptId first = RoutingFixture.placed(fixture.send("counter", 16, 8)).attempt();
        fixture.fail(first, FailureKind.BROKEN, Verdict.RAN, 2);
        AttemptOutcome late =
                new AttemptOutcome.Failed(fixture.placement(first).decode(), FailureKind.BROKEN, Verdict.RAN, 2);
        assertThat(fixture.apply(new RoutingEvent.AttemptEnded(first, late))).isEmpty();
        assertThat(fixture.apply(new RoutingEvent.AttemptEnded(first, new AttemptOutcome.Completed(3))))
                .isEmpty();
    }

    /** Guards against treating servers as silent because their reports aged while this process was paused. */
    @Test
    void brokenAttemptIsRetriedAfterProcessPause() {
        RoutingFixture fixture = fixture(2);
        AttemptId first =
                RoutingFixture.placed(fixture.send("counter", 16, 200)).attempt();
        fixture.pause(Duration.ofSeconds(6));
        List<RoutingAction> actions = fixture.fail(first, FailureKind.BROKEN, Verdict.RAN, 2);
        assertThat(RoutingFixture.placed(actions).attempt()).isEqualTo(first.next());
    }

    @Test
    void retriesStayBelowTenPercentOfRequests() {
        RoutingFixture fixture = fixture(4);
        int requests = 2000;
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            List<RoutingAction> actions = fixture.send("counter", 16, 8);
            while (!actions.isEmpty() && actions.get(0) instanceof RoutingAction.Place place) {
                retries += place.attempt().number() > 1 ? 1 : 0;
                actions = fixture.fail(place.attempt(), FailureKind.FULL, Verdict.NOT_RUN, 0);
            }
            retries += RoutingFixture.places(fixture.advance(Duration.ofMillis(40)))
                    .size();
        }
        assertThat(retries).isGreaterThan(0);
        assertThat(retries).isLessThan(requests / 10);
    }

    @Test
    void refusalAfterPrefillHasVerdictRan() {
        RoutingFixture fixture = fixture(1);
        AttemptId first = RoutingFixture.placed(fixture.send("counter", 16, 8)).attempt();
        fixture.apply(new RoutingEvent.PrefillDone(first, 16, 0));
        List<RoutingAction> actions = fixture.fail(first, FailureKind.EVICTED, Verdict.NOT_RUN, 0);
        assertThat(RoutingFixture.refused(actions).refusal().verdict()).isEqualTo(Verdict.RAN);
    }

    @Test
    void brokenStreamResumesWhenCapacityIsFree() {
        RoutingFixture fixture = fixture(2);
        AttemptId first = RoutingFixture.placed(fixture.send("counter", 16, 8)).attempt();
        String other = fixture.placement(first).decode().equals(ServerId.of("d-1")) ? "d-2" : "d-1";
        fixture.reportSlotsOfOthers(other, RoutingFixture.SLOTS);
        assertThat(fixture.fail(first, FailureKind.BROKEN, Verdict.RAN, 3)).isEmpty();
        fixture.reportSlotsOfOthers(other, 0);
        List<RoutingAction.Place> resumed = RoutingFixture.places(fixture.advance(Duration.ofSeconds(1)));
        assertThat(resumed).hasSize(1);
        assertThat(resumed.get(0).attempt()).isEqualTo(first.next());
    }

    @Test
    void atMostHalfOfThePoolIsEjected() {
        RoutingFixture fixture = fixture(4);
        Set<ServerId> failing = Set.of(ServerId.of("d-1"), ServerId.of("d-2"), ServerId.of("d-3"));
        Set<ServerId> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<RoutingAction> actions = fixture.send("counter", 16, 8);
            while (!actions.isEmpty() && actions.get(0) instanceof RoutingAction.Place place) {
                ServerId decode = place.placement().decode();
                if (i >= 100) {
                    used.add(decode);
                }
                actions = failing.contains(decode)
                        ? fixture.fail(place.attempt(), FailureKind.ERROR, Verdict.MAY_HAVE_RUN, 0)
                        : fixture.complete(place.attempt(), 8);
            }
            fixture.advance(Duration.ofMillis(40)).forEach(action -> {
                if (action instanceof RoutingAction.Place late) {
                    fixture.complete(late.attempt(), 8);
                }
            });
        }
        assertThat(used).contains(ServerId.of("d-4"));
        assertThat(used.size()).isAtLeast(2);
    }

    @Test
    void ejectedServerIsSkippedAndRetriedLater() {
        RoutingFixture fixture = fixture(2);
        int failures = 0;
        while (failures < 3) {
            RoutingAction.Place place = RoutingFixture.placed(fixture.send("counter", 16, 8));
            boolean bad = place.placement().decode().equals(ServerId.of("d-1"));
            failures += bad ? 1 : 0;
            List<RoutingAction> next = bad
                    ? fixture.fail(place.attempt(), FailureKind.BROKEN, Verdict.MAY_HAVE_RUN, 0)
                    : fixture.complete(place.attempt(), 8);
            RoutingFixture.places(next).forEach(retry -> fixture.complete(retry.attempt(), 8));
        }
        for (int i = 0; i < 10; i++) {
            RoutingAction.Place place = RoutingFixture.placed(fixture.send("counter", 16, 8));
            assertThat(place.placement().decode()).isEqualTo(ServerId.of("d-2"));
        }
        fixture.advance(Duration.ofSeconds(8));
        Set<ServerId> used = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            used.add(RoutingFixture.placed(fixture.send("counter", 16, 8))
                    .placement()
                    .decode());
        }
        assertThat(used).contains(ServerId.of("d-1"));
    }

    @Test
    void requestThatCannotWaitIsRetriedWithoutBackoff() {
        RoutingFixture fixture = fixture(4);
        List<RoutingAction> actions = fixture.send("counter", 16, 8);
        for (int i = 0; i < 4; i++) {
            RoutingAction.Place place = RoutingFixture.placed(actions);
            actions = fixture.fail(place.attempt(), FailureKind.FULL, Verdict.NOT_RUN, 0);
            assertThat(actions).hasSize(1);
        }
        assertThat(RoutingFixture.refused(actions).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void oneStalledTransferEjectsTheServer() {
        RoutingFixture fixture = fixture(4);
        RoutingAction.Place first = RoutingFixture.placed(fixture.send("counter", 16, 8));
        ServerId stalled = first.placement().decode();
        fixture.fail(first.attempt(), FailureKind.STALLED, Verdict.MAY_HAVE_RUN, 0);
        for (int i = 0; i < 12; i++) {
            RoutingAction.Place next = RoutingFixture.placed(fixture.send("counter", 16, 8));
            assertThat(next.placement().decode()).isNotEqualTo(stalled);
        }
    }
}
