package org.mangoridge.gateway.node;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ShutdownPlanTest {

    private final ShutdownPlan plan = ShutdownPlan.of(Duration.ofSeconds(8));

    private ShutdownPlan.Step next(int millis, long inProgress) {
        return plan.next(Duration.ofMillis(millis), inProgress, 0);
    }

    @Test
    void waitsForTheLoadBalancerAndForRequestsInProgress() {
        assertThat(next(1000, 0)).isEqualTo(ShutdownPlan.Step.WAIT);
        assertThat(next(3300, 2)).isEqualTo(ShutdownPlan.Step.WAIT);
    }

    /** A request that arrives on a kept connection just before the end must not be cut off. */
    @Test
    void refusesBeforeItEndsAndWaitsForRequestsThatArrivedMeanwhile() {
        assertThat(next(3300, 0)).isEqualTo(ShutdownPlan.Step.REFUSE);
        assertThat(next(3400, 1)).isEqualTo(ShutdownPlan.Step.WAIT);
        assertThat(next(3500, 0)).isEqualTo(ShutdownPlan.Step.END);
    }

    /** Requests that servers still worked on at the end were cut without an answer. */
    @Test
    void endsRequestsInProgressBeforeItStopsAndWaitsForTheirAnswers() {
        assertThat(next(7200, 3)).isEqualTo(ShutdownPlan.Step.WAIT);
        assertThat(next(7350, 3)).isEqualTo(ShutdownPlan.Step.END_REQUESTS);
        assertThat(next(7450, 1)).isEqualTo(ShutdownPlan.Step.WAIT);
        assertThat(next(7480, 0)).isEqualTo(ShutdownPlan.Step.END);
    }

    @Test
    void endsBeforeTheGracePeriodExpires() {
        assertThat(next(7600, 3)).isEqualTo(ShutdownPlan.Step.END);
    }

    /** A request whose body came slowly was not seen: the process stopped while it was being read. */
    @Test
    void waitsForRequestsThatAreBeingReadUntilRequestsEnd() {
        assertThat(plan.next(Duration.ofMillis(3300), 0, 1)).isEqualTo(ShutdownPlan.Step.WAIT);
        assertThat(plan.next(Duration.ofMillis(7350), 0, 1)).isEqualTo(ShutdownPlan.Step.END_REQUESTS);
        assertThat(plan.next(Duration.ofMillis(7450), 0, 1)).isEqualTo(ShutdownPlan.Step.END);
    }
}
