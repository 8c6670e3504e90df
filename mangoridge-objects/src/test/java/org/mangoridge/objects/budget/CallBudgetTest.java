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
    void purposeDoesNotConsumeBudgetOfOtherPurposes(CallPurpose exhausted) {
        CallBudget budget = CallBudget.create(START);
        while (budget.tryAcquire(exhausted, START)) {
            // empties the bucket
        }
        for (CallPurpose other : CallPurpose.values()) {
            assertThat(budget.tryAcquire(other, START)).isEqualTo(other != exhausted);
        }
    }

    @Test
    void bucketRefillsOverTime() {
        CallBudget budget = CallBudget.create(START);
        while (budget.tryAcquire(CallPurpose.CONFIGURATION, START)) {
            // empties the bucket
        }
        assertThat(budget.tryAcquire(CallPurpose.CONFIGURATION, START.plusMillis(900)))
                .isFalse();
        assertThat(budget.tryAcquire(CallPurpose.CONFIGURATION, START.plusMillis(1000)))
                .isTrue();
        assertThat(budget.tryAcquire(CallPurpose.CONFIGURATION, START.plusMillis(1000)))
                .isFalse();
    }

    @Test
    void jitterSpreadsRetriesOfManyInstancesAfterLongOutage() {
        int[] callsPerHalfSecond = new int[8];
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 340; i++) {
            Backoff backoff = Backoff.create(Duration.ofMillis(250), Duration.ofSeconds(4), random.split());
            Duration at = Duration.ZERO;
            while (at.compareTo(Duration.ofMinutes(10)) < 0) {
                at = at.plus(backoff.nextDelay());
            }
            callsPerHalfSecond[(int) (at.minus(Duration.ofMinutes(10)).toMillis() / 500)]++;
        }
        for (int calls : callsPerHalfSecond) {
            assertThat(calls).isLessThan(340 / 4);
        }
    }
}
