package org.mangoridge.bench.measure;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class DelaysTest {

    private static final Delays HUNDRED =
            Delays.of(IntStream.rangeClosed(1, 100).mapToObj(Duration::ofMillis).toList());

    @ParameterizedTest
    @CsvSource({"0.5, 50", "0.99, 99", "1, 100", "0.001, 1"})
    void percentilesAreValuesOfTheSet(double share, long expectedMillis) {
        assertThat(HUNDRED.percentile(share)).isEqualTo(Duration.ofMillis(expectedMillis));
    }

    @Test
    void sharesCountTheLimitIn() {
        assertThat(HUNDRED.shareWithin(Duration.ofMillis(20))).isEqualTo(0.2);
        assertThat(Delays.of(List.of()).shareWithin(Duration.ZERO)).isEqualTo(1.0);
        assertThat(HUNDRED.plus(HUNDRED).shareWithin(Duration.ofMillis(20))).isEqualTo(0.2);
    }
}
