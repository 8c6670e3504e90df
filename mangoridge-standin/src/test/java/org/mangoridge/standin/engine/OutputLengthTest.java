package org.mangoridge.standin.engine;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class OutputLengthTest {

    @ParameterizedTest
    @ValueSource(ints = {1, 12, 16})
    void shortAnswersAreWhole(int maxTokens) {
        assertThat(OutputLength.of("prompt", maxTokens, 16)).isEqualTo(maxTokens);
    }

    @Test
    void longAnswersVaryWithThePromptAndNotWithTheRun() {
        Set<Integer> lengths = new HashSet<>();
        int whole = 0;
        for (int index = 0; index < 1000; index++) {
            int length = OutputLength.of("prompt " + index, 200, 16);
            assertThat(length).isIn(com.google.common.collect.Range.closed(16, 200));
            assertThat(OutputLength.of("prompt " + index, 200, 16)).isEqualTo(length);
            lengths.add(length);
            whole += length == 200 ? 1 : 0;
        }
        assertThat(lengths.size()).isGreaterThan(50);
        assertThat(whole).isIn(com.google.common.collect.Range.closed(250, 400));
    }
}
