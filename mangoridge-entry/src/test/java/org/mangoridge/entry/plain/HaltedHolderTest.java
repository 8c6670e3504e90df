package org.mangoridge.entry.plain;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.web.WebReply;

import static com.google.common.truth.Truth.assertThat;

/** Halts the holder at each step over real sockets; what a retry gets before it resumes is what a kill would leave. */
class HaltedHolderTest {

    private static final Duration PAST_OVERDUE = Duration.ofMinutes(1);

    @ParameterizedTest(name = "write {0}, after it: {1}")
    @CsvSource({
        "1, false, 201, 201, 1, 201, 201",
        "1, true, 409, 409, 0, 504, 201",
        "2, false, 409, 409, 1, 201, 201",
        "2, true, 201, 201, 1, 201, 201"
    })
    void anOrderRunsOnceWhereverItsHolderHalts(
            int write, boolean afterIt, int early, int late, int runs, int holderStatus, int lastStatus)
            throws Exception {
        HaltPoint point = HaltPoint.at(write, afterIt);
        try (OrderDesk desk = OrderDesk.haltingAt(point);
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<WebReply.Buffered> holder = threads.submit(() -> desk.place(0, "nursery", "key", "order-1"));
            point.awaitHalt();
            assertThat(desk.place(1, "nursery", "key", "order-1").status()).isEqualTo(early);
            desk.clock.advance(PAST_OVERDUE);
            assertThat(desk.place(1, "nursery", "key", "order-1").status()).isEqualTo(late);
            assertThat(desk.runs().getOrDefault("order-1", 0)).isEqualTo(runs);
            point.resume();
            assertThat(holder.get().status()).isEqualTo(holderStatus);
            WebReply.Buffered last = desk.place(1, "nursery", "key", "order-1");
            assertThat(last.status()).isEqualTo(lastStatus);
            assertThat(new String(last.body(), StandardCharsets.UTF_8)).contains("order-1");
            assertThat(desk.runs()).containsExactly("order-1", 1);
        }
    }
}
