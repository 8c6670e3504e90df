package org.mangoridge.objects.budget;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

class CallBudgetTest {

    private static final Duration START = Duration.ofSeconds(5);

    @ParameterizedTest
    @EnumSource(CallPurpose.class)
    void onePurposeCannotUseUpTheShareOfAnother(CallPurpose greedy) {
        CallBudget budget = CallBudget.create(START);
        while (budget.tryAcquire(greedy, START)) {
            // takes the whole share
        }
        for (CallPurpose other : CallPurpose.values()) {
            assertThat(budget.tryAcquire(other, START)).isEqualTo(other != greedy);
        }
    }

    @Test
    void shareGrowsBackWithTime() {
        CallBudget budget = CallBudget.create(START);
        while (budget.tryAcquire(CallPurpose.CONFIGURATION, START)) {
            // takes the whole share
        }
        assertThat(budget.tryAcquire(CallPurpose.CONFIGURATION, START.plusMillis(900)))
                .isFalse();
        assertThat(budget.tryAcquire(CallPurpose.CONFIGURATION, START.plusMillis(1000)))
                .isTrue();
        assertThat(budget.tryAcquire(CallPurpose.CONFIGURATION, START.plusMillis(1000)))
                .isFalse();
    }

    @Test
    void retriesOfManyInstancesSpreadAfterALongOutage() {
        int[] perSlot = new int[8];
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 340; i++) {
            Backoff backoff = Backoff.create(Duration.ofMillis(250), Duration.ofSeconds(4), random.split());
            Duration at = Duration.ZERO;
            while (at.compareTo(Duration.ofMinutes(10)) < 0) {
                at = at.plus(backoff.nextDelay());
            }
            perSlot[(int) (at.minus(Duration.ofMinutes(10)).toMillis() / 500)]++;
        }
        for (int calls : perSlot) {
            assertThat(calls).isLessThan(340 / 4);
        }
    }
}
