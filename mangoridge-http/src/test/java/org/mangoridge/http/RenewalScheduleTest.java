package org.mangoridge.http;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class RenewalScheduleTest {

    private static final Duration MAX_AGE = Duration.ofSeconds(300);
    private static final Duration MIN_AGE = Duration.ofSeconds(5);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void poolIsRenewedAtMaxAgeWithJitterOfTwentyPercent(long seed) {
        RenewalSchedule schedule = createSchedule(seed);
        assertWithMessage("seed %s", seed).that(schedule.isDue(seconds(239))).isFalse();
        assertWithMessage("seed %s", seed).that(schedule.isDue(seconds(361))).isTrue();
    }

    @Test
    void timeoutRenewsPoolNotBeforeMinAge() {
        RenewalSchedule schedule = createSchedule(1);
        schedule.recordTimeout(seconds(100));
        assertThat(schedule.isDue(seconds(100))).isTrue();
        schedule.recordRenewal(seconds(100));
        schedule.recordTimeout(seconds(101));
        assertThat(schedule.isDue(seconds(102))).isFalse();
        assertThat(schedule.isDue(seconds(105))).isTrue();
    }

    @Test
    void timeoutOnReplacedPoolDoesNotRenewNewOne() {
        RenewalSchedule schedule = createSchedule(1);
        schedule.recordRenewal(seconds(100));
        schedule.recordTimeout(seconds(99));
        assertThat(schedule.isDue(seconds(110))).isFalse();
    }

    private static RenewalSchedule createSchedule(long seed) {
        return new RenewalSchedule(MAX_AGE, MIN_AGE, new SplittableRandom(seed), Duration.ZERO);
    }

    private static Duration seconds(long seconds) {
        return Duration.ofSeconds(seconds);
    }
}
