package org.mangoridge.dispatch.balance;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.id.ServiceId;

import static com.google.common.truth.Truth.assertThat;

class RetryBudgetTest {

    private static final ServiceId SERVICE = ServiceId.of("desk");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int ALLOWANCE = 50;

    private static RetryBudget budget() {
        return RetryBudget.create(0.2, ALLOWANCE, WINDOW);
    }

    private static int take(RetryBudget budget, int instances, Duration now) {
        int taken = 0;
        while (taken < 1000 && budget.tryRetry(SERVICE, instances, now)) {
            taken++;
        }
        return taken;
    }

    /** Instances that cannot reach each other must not exceed the common allowance together. */
    @ParameterizedTest
    @ValueSource(ints = {1, 6, 65})
    void allInstancesTogetherStayWithinTheAllowance(int instances) {
        int total = 0;
        for (int i = 0; i < instances; i++) {
            total += take(budget(), instances, Duration.ofSeconds(1));
        }
        assertThat(total).isAtMost(ALLOWANCE);
    }

    @Test
    void requestsAddToTheBudgetWhileTheyAreInTheWindow() {
        RetryBudget budget = budget();
        for (int i = 0; i < 100; i++) {
            budget.recordRequest(SERVICE, Duration.ofSeconds(1));
        }
        assertThat(take(budget, 1, Duration.ofSeconds(2))).isEqualTo(60);
        assertThat(take(budget, 1, Duration.ofSeconds(11))).isEqualTo(0);
        assertThat(take(budget, 1, Duration.ofSeconds(13))).isEqualTo(40);
    }

    @Test
    void eachServiceHasItsOwnBudget() {
        RetryBudget budget = budget();
        take(budget, 1, Duration.ZERO);
        assertThat(budget.tryRetry(ServiceId.of("other"), 1, Duration.ZERO)).isTrue();
    }
}
