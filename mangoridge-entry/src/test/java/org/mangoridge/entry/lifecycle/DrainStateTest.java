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

    private static final int WAIT_MILLIS = 5_000;
    private static final int LIMIT_MILLIS = 60_000;
    private static final int STEP_MILLIS = 50;

    private final DrainState state = DrainState.create(Duration.ofMillis(WAIT_MILLIS), Duration.ofMillis(LIMIT_MILLIS));
    private final List<DrainAction> actions = new ArrayList<>();

    @Test
    void nothingHappensUnlessAsked() {
        run(0, 10_000, millis -> 0);
        assertThat(state.phase()).isEqualTo(DrainPhase.SERVING);
        assertThat(actions).isEmpty();
    }

    @Test
    void requestsAreTakenUntilTheBalancerHadItsTime() {
        on(new DrainEvent.Requested(), 0);
        run(0, WAIT_MILLIS - STEP_MILLIS, millis -> 3);
        assertThat(state.phase()).isEqualTo(DrainPhase.LEAVING);
        assertThat(state.phase().takesRequests()).isTrue();
        run(WAIT_MILLIS, WAIT_MILLIS, millis -> 3);
        assertThat(state.phase().takesRequests()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"0, 7000", "20000, 22000", "59000, 61500"})
    void itEndsSoonAfterTheLastRequestAndCutsNone(int lastRequestMillis, int endedBy) {
        on(new DrainEvent.Requested(), 0);
        run(0, endedBy, millis -> millis < lastRequestMillis ? 1 : 0);
        assertThat(actions)
                .containsExactly(DrainAction.TELL_DRAINING, DrainAction.TELL_STOPPED, DrainAction.END)
                .inOrder();
        assertThat(state.isCut()).isFalse();
    }

    @Test
    void aRequestThatComesInAQuietMomentIsWaitedFor() {
        on(new DrainEvent.Requested(), 0);
        run(0, 20_000, millis -> millis >= WAIT_MILLIS + 300 && millis < 15_000 ? 1 : 0);
        assertThat(actions).doesNotContain(DrainAction.CUT_REQUESTS);
        assertThat(state.phase()).isEqualTo(DrainPhase.ENDED);
    }

    @Test
    void theLimitCutsWhatIsLeft() {
        on(new DrainEvent.Requested(), 0);
        run(0, LIMIT_MILLIS + 10_000, millis -> 1);
        assertThat(actions)
                .containsExactly(
                        DrainAction.TELL_DRAINING, DrainAction.CUT_REQUESTS, DrainAction.TELL_STOPPED, DrainAction.END)
                .inOrder();
        assertThat(state.isCut()).isTrue();
    }

    @Test
    void hurryingCutsAtOnceAndAskingAgainDoesNot() {
        on(new DrainEvent.Requested(), 0);
        run(0, 2_000, millis -> 1);
        on(new DrainEvent.Requested(), 2_000);
        run(2_000, 3_000, millis -> 1);
        assertThat(actions).containsExactly(DrainAction.TELL_DRAINING);
        on(new DrainEvent.Hurried(), 3_000);
        run(3_050, 3_200, millis -> 1);
        assertThat(actions).contains(DrainAction.CUT_REQUESTS);
    }

    private void run(int fromMillis, int toMillis, IntUnaryOperator openRequests) {
        for (int millis = fromMillis; millis <= toMillis; millis += STEP_MILLIS) {
            on(new DrainEvent.Tick(openRequests.applyAsInt(millis)), millis);
        }
    }

    private void on(DrainEvent event, int millis) {
        actions.addAll(state.on(event, Duration.ofMillis(millis)));
    }
}
