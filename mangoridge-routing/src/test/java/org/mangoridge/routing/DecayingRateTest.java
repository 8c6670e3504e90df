package org.mangoridge.routing;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class DecayingRateTest {

    @ParameterizedTest
    @ValueSource(ints = {2, 5, 30})
    void rateOfSteadyArrivalsIsAccurateFromTheStart(int seconds) {
        DecayingRate rate = new DecayingRate(8);
        long start = Duration.ofMinutes(3).toNanos();
        long step = Duration.ofMillis(100).toNanos();
        for (int i = 0; i < seconds * 10; i++) {
            rate.add(1, start + i * step);
        }
        assertThat(rate.perSecond(start + seconds * 10 * step)).isWithin(1.0).of(10);
    }
}
