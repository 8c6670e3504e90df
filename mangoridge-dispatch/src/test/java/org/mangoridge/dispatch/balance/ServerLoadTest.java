package org.mangoridge.dispatch.balance;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.request.TokenDemand;

import static com.google.common.truth.Truth.assertThat;

class ServerLoadTest {

    /** Requests that started together grow beyond what they hold; requests of every age do not grow in sum. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, 0",
        "0, 3000, 0, 3000",
        "10, 36000, 4000, 37264",
        "10, 80000, 30000, 89486",
        "10, 50000, 60000, 79181",
        "10, 0, 60000, 48973"
    })
    void peakOfSeveralRequests(int requests, long kvTokens, long growthTokens, long peak) {
        assertThat((long) new ServerLoad(requests, 0, kvTokens, growthTokens).peakKvTokens())
                .isEqualTo(peak);
    }

    @ParameterizedTest
    @CsvSource({"0, 5860, 6000", "5000, 10860, 1500", "6000, 11860, 1800", "9000, 14000, 0"})
    void loadFollowsTheGeneratedTokens(int generated, long kvTokens, long growthTokens) {
        EngineSpec spec = new EngineSpec(64, 114_005, 86, Duration.ofMillis(500), Duration.ofSeconds(2));
        TokenDemand demand = new TokenDemand(5000, 9000, 6000);
        assertThat(ServerLoad.ofDecode(demand, spec, generated))
                .isEqualTo(new ServerLoad(1, 0, kvTokens, growthTokens));
    }
}
