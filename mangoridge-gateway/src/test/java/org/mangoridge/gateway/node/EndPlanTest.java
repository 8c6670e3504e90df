package org.mangoridge.gateway.node;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndPlanTest {

    private final EndPlan plan = EndPlan.of(Duration.ofSeconds(8));

    private EndPlan.Step next(int millis, long inProgress) {
        return plan.next(Duration.ofMillis(millis), inProgress);
    }

    @Test
    void itWaitsForTheBalancerAndForRequestsInProgress() {
        assertThat(next(1000, 0)).isEqualTo(EndPlan.Step.WAIT);
        assertThat(next(3300, 2)).isEqualTo(EndPlan.Step.WAIT);
    }

    /** An order that comes on a kept connection at the very end must not be cut. */
    @Test
    void itRefusesBeforeItEndsAndWaitsForWhatCameMeanwhile() {
        assertThat(next(3300, 0)).isEqualTo(EndPlan.Step.REFUSE);
        assertThat(next(3400, 1)).isEqualTo(EndPlan.Step.WAIT);
        assertThat(next(3500, 0)).isEqualTo(EndPlan.Step.END);
    }

    @Test
    void itEndsBeforeItIsKilled() {
        assertThat(next(7600, 3)).isEqualTo(EndPlan.Step.END);
    }
}
