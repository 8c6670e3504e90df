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

/**
 * Guards against an order that runs twice because the holder of its claim pauses and resumes late.
 *
 * <p>The holder halts before or after each of its platform writes. Until it resumes, a retry sees the state that a
 * killed holder would leave.
 */
class HaltedHolderTest {

    private static final Duration PAST_OVERDUE = Duration.ofMinutes(1);

    @ParameterizedTest(name = "write {0}, after write: {1}")
    @CsvSource({
        "1, false, 201, 201, 1, 201, 201",
        "1, true, 409, 409, 0, 504, 201",
        "2, false, 409, 409, 1, 201, 201",
        "2, true, 201, 201, 1, 201, 201"
    })
    void orderRunsOnceWhereverItsHolderHalts(
            int write,
            boolean afterWrite,
            int statusBeforeOverdue,
            int statusAfterOverdue,
            int runs,
            int holderStatus,
            int lastStatus)
            throws Exception {
        HaltPoint point = HaltPoint.at(write, afterWrite);
        try (OrderServiceFixture fixture = OrderServiceFixture.haltingAt(point);
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<WebReply.Buffered> holder = threads.submit(() -> fixture.place(0, "nursery", "key", "order-1"));
            point.awaitHalt();
            assertThat(fixture.place(1, "nursery", "key", "order-1").status()).isEqualTo(statusBeforeOverdue);
            fixture.clock.advance(PAST_OVERDUE);
            assertThat(fixture.place(1, "nursery", "key", "order-1").status()).isEqualTo(statusAfterOverdue);
            assertThat(fixture.runs().getOrDefault("order-1", 0)).isEqualTo(runs);
            point.resume();
            assertThat(holder.get().status()).isEqualTo(holderStatus);
            WebReply.Buffered last = fixture.place(1, "nursery", "key", "order-1");
            assertThat(last.status()).isEqualTo(lastStatus);
            assertThat(new String(last.body(), StandardCharsets.UTF_8)).contains("order-1");
            assertThat(fixture.runs()).containsExactly("order-1", 1);
        }
    }
}
