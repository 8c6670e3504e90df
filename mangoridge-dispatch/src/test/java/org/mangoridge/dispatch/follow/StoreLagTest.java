package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StoreLagTest {

    private static final Duration TOLERANCE = Duration.ofMillis(900);

    private final StoreLag lag = StoreLag.create(TOLERANCE);

    /** Returns when queries are due within ten seconds, in milliseconds; peers have version 7. */
    private List<Long> queries(LongUnaryOperator ownVersionAt) {
        List<Long> due = new ArrayList<>();
        for (long millis = 0; millis < 10_000; millis += 100) {
            if (lag.queryDue(ownVersionAt.applyAsLong(millis), 7, Duration.ofMillis(millis))) {
                due.add(millis);
            }
        }
        return due;
    }

    @Test
    void noQueryIsDueWhenTheChangeArrivesInTime() {
        assertThat(queries(millis -> millis < 800 ? 5 : 7)).isEmpty();
    }

    /** Guards against a watch that stays stuck: the query that a peer's report led to hung as the watch before it. */
    @Test
    void aQueryThatGetsStuckIsRepeated() {
        assertThat(queries(millis -> 5))
                .containsExactly(900L, 2700L, 6300L, 9900L)
                .inOrder();
    }

    @Test
    void aQueryThatSucceedsIsNotRepeated() {
        assertThat(queries(millis -> millis <= 1000 ? 5 : 9)).containsExactly(900L);
    }

    @Test
    void versionsThatWentBackAreNotWaitedFor() {
        assertThat(lag.queryDue(5, 7, Duration.ZERO)).isFalse();
        lag.reset();
        assertThat(lag.queryDue(2, 3, Duration.ofSeconds(5))).isFalse();
    }
}
