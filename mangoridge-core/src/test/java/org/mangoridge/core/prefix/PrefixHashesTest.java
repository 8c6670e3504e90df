package org.mangoridge.core.prefix;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class PrefixHashesTest {

    @ParameterizedTest
    @CsvSource({"0, 0", "1023, 0", "1024, 1", "2047, 1", "4096, 4"})
    void hashesWholeBlocksOnly(int characters, int expected) {
        assertThat(PrefixHashes.of("x".repeat(characters))).hasSize(expected);
    }

    @Test
    void promptsWithACommonPrefixShareItsHashes() {
        String shared = "shared ".repeat(400);
        List<Long> one = PrefixHashes.of(shared + "one ".repeat(400));
        List<Long> two = PrefixHashes.of(shared + "two ".repeat(400));
        assertThat(one.subList(0, 2)).isEqualTo(two.subList(0, 2));
        assertThat(one.get(2)).isNotEqualTo(two.get(2));
    }

    @Test
    void hashesAreTheSameInEveryProcess() {
        assertThat(PrefixHashes.of("a".repeat(1024))).containsExactly(-51468518064851163L);
    }
}
