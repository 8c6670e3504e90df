package org.mangoridge.entry.lifecycle;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class DrainStateTest {

    private static final int READINESS_DELAY_MILLIS = 5_000;
    private static final int LIMIT_MILLIS = 60_000;
    private static final int STEP_MILLIS = 50;

    private final DrainState state =
            DrainState.create(Duration.ofMillis(READINESS_DELAY_MILLIS), Duration.ofMillis(LIMIT_MILLIS));
    private final List<DrainAction> actions = new ArrayList<>();

    @Test
    void nothingHappensWithoutRequest() {
        run(0, 10_000, millis -> 0);
        assertThat(state.phase()).isEqualTo(DrainPhase.SERVING);
        assertThat(actions).isEmpty();
    }

    @Test
    void requestsAreAcceptedDuringTheReadinessDelay() {
        handle(new DrainEvent.Requested(), 0);
        run(0, READINESS_DELAY_MILLIS - STEP_MILLIS, millis -> 3);
        assertThat(state.phase()).isEqualTo(DrainPhase.LEAVING);
        assertThat(state.phase().takesRequests()).isTrue();
        run(READINESS_DELAY_MILLIS, READINESS_DELAY_MILLIS, millis -> 3);
        assertThat(state.phase().takesRequests()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"0, 7000", "20000, 22000", "59000, 61500"})
    void endsSoonAfterTheLastRequestWithoutCuttingAny(int lastRequestMillis, int endedBy) {
        handle(new DrainEvent.Requested(), 0);
        run(0, endedBy, millis -> millis < lastRequestMillis ? 1 : 0);
        assertThat(actions)
                .containsExactly(DrainAction.ANNOUNCE_DRAINING, DrainAction.ANNOUNCE_STOPPED, DrainAction.END)
                .inOrder();
        assertThat(state.hasCutRequests()).isFalse();
    }

    @Test
    void requestThatArrivesDuringAnIdlePeriodIsWaitedFor() {
        handle(new DrainEvent.Requested(), 0);
        run(0, 20_000, millis -> millis >= READINESS_DELAY_MILLIS + 300 && millis < 15_000 ? 1 : 0);
        assertThat(actions).doesNotContain(DrainAction.CUT_REQUESTS);
        assertThat(state.phase()).isEqualTo(DrainPhase.ENDED);
    }

    @Test
    void openRequestsAreCutAtTheDrainLimit() {
        handle(new DrainEvent.Requested(), 0);
        run(0, LIMIT_MILLIS + 10_000, millis -> 1);
        assertThat(actions)
                .containsExactly(
                        DrainAction.ANNOUNCE_DRAINING,
                        DrainAction.CUT_REQUESTS,
                        DrainAction.ANNOUNCE_STOPPED,
                        DrainAction.END)
                .inOrder();
        assertThat(state.hasCutRequests()).isTrue();
    }

    @Test
    void forceCutsImmediatelyButASecondRequestDoesNot() {
        handle(new DrainEvent.Requested(), 0);
        run(0, 2_000, millis -> 1);
        handle(new DrainEvent.Requested(), 2_000);
        run(2_000, 3_000, millis -> 1);
        assertThat(actions).containsExactly(DrainAction.ANNOUNCE_DRAINING);
        handle(new DrainEvent.Forced(), 3_000);
        run(3_050, 3_200, millis -> 1);
        assertThat(actions).contains(DrainAction.CUT_REQUESTS);
    }

    private void run(int fromMillis, int toMillis, IntUnaryOperator openRequests) {
        for (int millis = fromMillis; millis <= toMillis; millis += STEP_MILLIS) {
            handle(new DrainEvent.Tick(openRequests.applyAsInt(millis)), millis);
        }
    }

    private void handle(DrainEvent event, int millis) {
        actions.addAll(state.handle(event, Duration.ofMillis(millis)));
    }
}
