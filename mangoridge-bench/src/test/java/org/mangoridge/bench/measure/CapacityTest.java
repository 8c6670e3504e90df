package org.mangoridge.bench.measure;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.bench.scenario.FaultStep;
import org.mangoridge.bench.scenario.Fleet;
import org.mangoridge.standin.engine.EngineFaults;

import static com.google.common.truth.Truth.assertThat;

class CapacityTest {

    /** A full batch of 20 gives a token of each stream every 34 ms. */
    private static final double SERVER_TOKENS = 20 / 0.034;

    private static final double TOLERANCE = 1e-3;
    private static final Duration TEN_SECONDS = Duration.ofSeconds(10);

    @Test
    void addsUpTheServers() {
        Capacity capacity = Capacity.of(Fleet.chalk(), TEN_SECONDS, List.of());
        assertThat(capacity.outputTokens()).isWithin(TOLERANCE).of(10 * 4 * SERVER_TOKENS);
        assertThat(capacity.prefillTokens()).isWithin(TOLERANCE).of(10 * 6 * 30_000);
        assertThat(capacity.linkBytes()).isWithin(TOLERANCE).of(10 * 4 * 8e9);
    }

    @ParameterizedTest
    @CsvSource({
        "DEAD, 3.5, 3.5, 5.5",
        "SLOW_4, 3.5, 3.625, 5.625",
        "SLOW_1_5, 3.8333, 3.8333, 5.8333",
        "LINK, 4, 3.5, 6"
    })
    void aFaultTakesItsPart(String fault, double outputServers, double linkServers, double prefillServers) {
        EngineFaults faults =
                switch (fault) {
                    case "DEAD" -> EngineFaults.crash();
                    case "SLOW_4" -> EngineFaults.slow(4);
                    case "SLOW_1_5" -> EngineFaults.slow(1.5);
                    default -> EngineFaults.stalledLink();
                };
        List<FaultStep> steps =
                List.of(new FaultStep(0.25, "decode-1", faults), new FaultStep(0.75, "decode-1", EngineFaults.none()));
        Capacity capacity = Capacity.of(Fleet.chalk(), Duration.ofSeconds(1), steps);
        assertThat(capacity.outputTokens() / SERVER_TOKENS).isWithin(TOLERANCE).of(outputServers);
        assertThat(capacity.linkBytes() / 8e9).isWithin(TOLERANCE).of(linkServers);
        assertThat(capacity.prefillTokens() / 30_000).isWithin(TOLERANCE).of(prefillServers);
    }

    @Test
    void theRateOfRequestsIsThatOfTheScarcestPart() {
        assertThat(Capacity.requestsPerSecond(Fleet.chalk())).isGreaterThan(20.0);
        assertThat(Capacity.requestsPerSecond(Fleet.chalk()))
                .isLessThan(4
                        * SERVER_TOKENS
                        / Fleet.chalk().decodeProfile().sizes().minOutputTokens());
    }
}
