package org.mangoridge.gateway.node;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ShutdownPlanTest {

    private final ShutdownPlan plan = ShutdownPlan.of(Duration.ofSeconds(8));

    private ShutdownPlan.Step next(int millis, long inProgress) {
        return plan.next(Duration.ofMillis(millis), inProgress);
    }

    @Test
    void itWaitsForTheBalancerAndForRequestsInProgress() {
        assertThat(next(1000, 0)).isEqualTo(ShutdownPlan.Step.WAIT);
        assertThat(next(3300, 2)).isEqualTo(ShutdownPlan.Step.WAIT);
    }

    /** An order that comes on a kept connection at the very end must not be cut. */
    @Test
    void itRefusesBeforeItEndsAndWaitsForWhatCameMeanwhile() {
        assertThat(next(3300, 0)).isEqualTo(ShutdownPlan.Step.REFUSE);
        assertThat(next(3400, 1)).isEqualTo(ShutdownPlan.Step.WAIT);
        assertThat(next(3500, 0)).isEqualTo(ShutdownPlan.Step.END);
    }

    @Test
    void itEndsBeforeItIsKilled() {
        assertThat(next(7600, 3)).isEqualTo(ShutdownPlan.Step.END);
    }
}
