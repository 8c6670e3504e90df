package org.mangoridge.routing;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PrefixIndexTest {

    private static final List<Long> PROMPT = List.of(11L, 12L, 13L, 14L, 15L);

    @Test
    void longestCachedPrefixCounts() {
        PrefixIndex index = new PrefixIndex();
        assertThat(index.cachedTokens(PROMPT, 0)).isEqualTo(0);
        index.addAll(PROMPT.subList(0, 3), 0);
        assertThat(index.cachedTokens(PROMPT, 0)).isEqualTo(3 * 256);
        index.remove(13);
        assertThat(index.cachedTokens(PROMPT, 0)).isEqualTo(2 * 256);
        index.addAll(PROMPT, 0);
        assertThat(index.cachedTokens(PROMPT, 0)).isEqualTo(5 * 256);
        index.clear();
        assertThat(index.cachedTokens(PROMPT, 0)).isEqualTo(0);
    }

    @Test
    void unconfirmedPrefixExpires() {
        PrefixIndex index = new PrefixIndex();
        index.addAll(PROMPT, 0);
        assertThat(index.cachedTokens(PROMPT, Duration.ofSeconds(59).toNanos())).isEqualTo(5 * 256);
        assertThat(index.cachedTokens(PROMPT, Duration.ofSeconds(60).toNanos())).isEqualTo(0);
    }

    @Test
    void sizeIsBounded() {
        PrefixIndex index = new PrefixIndex();
        SplittableRandom random = new SplittableRandom(9);
        LongStream.range(0, 20_000).forEach(i -> index.add(random.nextLong(), i));
        assertThat(index.size()).isAtMost(2048);
    }
}
