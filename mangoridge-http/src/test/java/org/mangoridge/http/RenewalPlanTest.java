package org.mangoridge.http;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class RenewalPlanTest {

    private static final Duration MAX_AGE = Duration.ofSeconds(300);
    private static final Duration SHORTEST_AGE = Duration.ofSeconds(5);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aPoolIsRenewedByAgeGiveOrTakeAFifth(long seed) {
        RenewalPlan plan = plan(seed);
        assertWithMessage("seed %s", seed).that(plan.isDue(seconds(239))).isFalse();
        assertWithMessage("seed %s", seed).that(plan.isDue(seconds(361))).isTrue();
    }

    @Test
    void silenceRenewsAtOnceButNotTooOften() {
        RenewalPlan plan = plan(1);
        plan.silent(seconds(100));
        assertThat(plan.isDue(seconds(100))).isTrue();
        plan.renewed(seconds(100));
        plan.silent(seconds(101));
        assertThat(plan.isDue(seconds(102))).isFalse();
        assertThat(plan.isDue(seconds(105))).isTrue();
    }

    @Test
    void silenceOfAFormerPoolSaysNothingOfTheNewOne() {
        RenewalPlan plan = plan(1);
        plan.renewed(seconds(100));
        plan.silent(seconds(99));
        assertThat(plan.isDue(seconds(110))).isFalse();
    }

    private static RenewalPlan plan(long seed) {
        return new RenewalPlan(MAX_AGE, SHORTEST_AGE, new SplittableRandom(seed), Duration.ZERO);
    }

    private static Duration seconds(long seconds) {
        return Duration.ofSeconds(seconds);
    }
}
