package org.mangoridge.routing.accounting;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static com.google.common.truth.Truth.assertThat;

class HeavyHittersTest {

    private static final int CAPACITY = 8;

    @Property(tries = 200)
    void weightsAreWithinTheStatedErrorBounds(@ForAll @Size(max = 400) List<@IntRange(max = 40) Integer> keys) {
        HeavyHitters<Integer, Long> summary = HeavyHitters.create(CAPACITY, Long::sum);
        Map<Integer, Long> exactWeights = new HashMap<>();
        for (int key : keys) {
            summary.add(key, key + 1L, key + 1L);
            exactWeights.merge(key, key + 1L, Long::sum);
        }
        assertThat(summary.entries().size()).isAtMost(CAPACITY);
        for (HeavyHitters.Entry<Integer, Long> entry : summary.entries()) {
            long weight = exactWeights.remove(entry.key());
            assertThat(entry.weight()).isAtLeast(weight);
            assertThat(entry.weight() - entry.maxError()).isAtMost(weight);
            assertThat(entry.amount()).isAtLeast(weight - entry.maxError());
        }
        exactWeights.values().forEach(weight -> assertThat(weight).isAtMost(summary.maxUnlistedWeight()));
    }
}
