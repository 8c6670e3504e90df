package org.mangoridge.bench.load;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.bench.load.Outcome.End;
import org.mangoridge.bench.scenario.Fleet;

import static com.google.common.truth.Truth.assertThat;

class OutcomeTest {

    /** The counter's targets are 340 ms and 39 ms; drafts' are 2 s, with 4 s of waiting, and 60 ms. */
    @ParameterizedTest
    @CsvSource({
        "0, WHOLE, 340, 4240, 101, true",
        "0, WHOLE, 341, 4241, 101, false",
        "0, WHOLE, 340, 4341, 101, false",
        "0, WHOLE, 10, 10, 1, true",
        "0, WRONG, 10, 100, 100, false",
        "0, CUT, 10, 100, 100, false",
        "1, WHOLE, 6000, 12000, 101, true",
        "1, WHOLE, 6001, 12001, 101, false",
    })
    void isGoodWithinBothTargets(int classIndex, End end, long first, long last, int tokens, boolean expected) {
        TrafficClass trafficClass = Fleet.chalk().classes().get(classIndex);
        Arrival arrival = new Arrival(Duration.ZERO, trafficClass, "c", new Prompt(1, 1, 1, 1), 100);
        Outcome outcome = new Outcome(
                arrival,
                Duration.ZERO,
                end,
                "r",
                "ran",
                Duration.ofMillis(first),
                Duration.ofMillis(last),
                tokens,
                Duration.ofMillis(last));
        assertThat(outcome.isGood()).isEqualTo(expected);
    }
}
