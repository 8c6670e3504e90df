package org.mangoridge.dispatch.balance;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.request.TokenDemand;

import static com.google.common.truth.Truth.assertThat;

class StreamAllowanceTest {

    private static final int KV_CAPACITY = 90_000;
    private static final EngineSpec SPEC =
            new EngineSpec(8, KV_CAPACITY, 11, Duration.ofSeconds(5), Duration.ofSeconds(2));

    private static StreamAllowance allowance(int maxOutput) {
        return StreamAllowance.of(new TokenDemand(100, maxOutput, maxOutput), SPEC);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 80, KV_CAPACITY, Integer.MAX_VALUE})
    void permitsAnEventForEachTokenAndGrowsWithThem(int maxOutput) {
        assertThat(allowance(maxOutput).events()).isGreaterThan((long) maxOutput);
        assertThat(allowance(maxOutput).bytes()).isGreaterThan(1000L * maxOutput);
        assertThat(allowance(maxOutput).events()).isLessThan(10_000 + 10L * maxOutput);
    }

    @Test
    void memoryOfServerLimitsRequestWithoutStatedTokens() {
        assertThat(allowance(0)).isEqualTo(allowance(KV_CAPACITY));
    }
}
