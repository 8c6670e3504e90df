package org.mangoridge.bench.scenario;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.mangoridge.bench.load.Arrival;
import org.mangoridge.bench.load.ArrivalSchedule;

import static com.google.common.truth.Truth.assertThat;

class ScenarioTest {

    @ParameterizedTest
    @EnumSource
    void isFoundByItsName(Scenario scenario) {
        assertThat(Scenario.named(scenario.text())).hasValue(scenario);
        assertThat(scenario.text()).matches("[a-z-]+");
    }

    @ParameterizedTest
    @CsvSource({"4999, false", "5000, true", "24999, true", "25000, false"})
    void onlyTheMiddleOfASegmentIsMeasured(long atMillis, boolean expected) {
        SegmentTimes times = SegmentTimes.of(Duration.ofSeconds(30));
        assertThat(times.isMeasured(Duration.ofMillis(atMillis))).isEqualTo(expected);
        assertThat(times.whole()).isEqualTo(Duration.ofSeconds(30));
    }

    @Test
    void aBurstIsOneCallersAndInsideTheMeasuredInterval() {
        SegmentTimes times = SegmentTimes.of(Duration.ofSeconds(60));
        long inBurst = ArrivalSchedule.of(Scenario.BURST.flows(10, 30, times), 1).stream()
                .filter(arrival -> arrival.caller().equals("counter-1"))
                .map(Arrival::at)
                .filter(at -> at.compareTo(Duration.ofSeconds(20)) >= 0 && at.compareTo(Duration.ofSeconds(40)) < 0)
                .count();
        assertThat((double) inBurst).isWithin(60).of(30 * 0.6 * 20 + 10 * 0.75 * 20 / 12);
    }
}
