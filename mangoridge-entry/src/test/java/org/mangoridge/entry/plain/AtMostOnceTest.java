package org.mangoridge.entry.plain;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.standin.service.ServiceFault;
import org.mangoridge.web.WebReply;

import static com.google.common.truth.Truth.assertThat;

/** Orders over real sockets, with the backend server and the platform failing at each step. */
class AtMostOnceTest {

    private static final Duration PAST_OVERDUE = Duration.ofMinutes(1);

    @Test
    void aRetryAtAnotherInstanceGetsTheRecordedAnswer() throws Exception {
        try (OrderDesk desk = OrderDesk.start()) {
            WebReply.Buffered first = desk.place(0, "nursery", "key", "order-1");
            WebReply.Buffered second = desk.place(1, "nursery", "key", "order-1");
            assertThat(first.status()).isEqualTo(201);
            assertThat(second.status()).isEqualTo(201);
            assertThat(second.body()).isEqualTo(first.body());
            assertThat(second.headers().value("Idempotency-Replayed")).hasValue("true");
            assertThat(desk.runs()).containsExactly("order-1", 1);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "DIE_BEFORE_RUN, may-have-run, 0, outcome_unknown, may-have-run",
        "DIE_AFTER_RUN, may-have-run, 1, outcome_unknown, may-have-run",
        "STALL, may-have-run, 0, outcome_unknown, may-have-run",
        "LATE_ANSWER, may-have-run, 1, outcome_unknown, may-have-run",
        "TRUNCATED_ANSWER, ran, 1, answer_not_kept, ran",
        "CROSSED_ANSWER, may-have-run, 1, outcome_unknown, may-have-run"
    })
    void aFaultyServerNeverMakesAnOrderRunTwice(
            ServiceFault fault, String verdict, int runs, String retryCode, String retryVerdict) throws Exception {
        try (OrderDesk desk = OrderDesk.start()) {
            desk.orders.injectFault(fault);
            WebReply.Buffered first = desk.place(0, "nursery", "key", "order-1");
            assertThat(first.headers().value("X-Verdict")).hasValue(verdict);
            assertThat(desk.runs().getOrDefault("order-1", 0)).isEqualTo(runs);
            if (verdict.equals("may-have-run")) {
                WebReply.Buffered early = desk.place(1, "nursery", "key", "order-1");
                assertThat(text(early)).contains("in_progress");
                assertThat(early.headers().value("Retry-After")).isPresent();
            }
            desk.clock.advance(PAST_OVERDUE);
            WebReply.Buffered late = desk.place(1, "nursery", "key", "order-1");
            assertThat(text(late)).contains(retryCode);
            assertThat(late.headers().value("X-Verdict")).hasValue(retryVerdict);
            assertThat(desk.runs().getOrDefault("order-1", 0)).isEqualTo(runs);
        }
    }

    @ParameterizedTest
    @CsvSource({"DIE_BEFORE_RUN, 0", "DIE_AFTER_RUN, 1", "TRUNCATED_ANSWER, 1", "CROSSED_ANSWER, 1"})
    void withoutAKeyNothingIsSentAgain(ServiceFault fault, int runs) throws Exception {
        try (OrderDesk desk = OrderDesk.start()) {
            desk.orders.injectFault(fault);
            WebReply.Buffered reply = desk.place(0, "nursery", null, "order-1");
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.headers().value("X-Verdict").orElseThrow()).isNotEqualTo("not-run");
            assertThat(desk.runs().getOrDefault("order-1", 0)).isEqualTo(runs);
        }
    }

    @Test
    void anUnreachableServerGivesNotRunAndReleasesTheClaim() throws Exception {
        ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        reserved.close();
        try (OrderDesk desk =
                new OrderDesk(HostPort.parse("127.0.0.1:" + reserved.getLocalPort()), 100, HaltPoint.none())) {
            WebReply.Buffered first = desk.place(0, "nursery", "key", "order-1");
            WebReply.Buffered second = desk.place(1, "nursery", "key", "order-1");
            assertThat(first.headers().value("X-Verdict")).hasValue("not-run");
            assertThat(first.headers().value("Retry-After")).isPresent();
            assertThat(second.headers().value("X-Verdict")).hasValue("not-run");
        }
    }

    @Test
    void anOutageOfThePlatformDispatchesNothing() throws Exception {
        try (OrderDesk desk = OrderDesk.start()) {
            desk.platform.faults().outage(true);
            WebReply.Buffered refused = desk.place(0, "nursery", "key", "order-1");
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.headers().value("X-Verdict")).hasValue("not-run");
            assertThat(refused.headers().value("Retry-After")).isPresent();
            assertThat(desk.runs()).isEmpty();
            desk.platform.faults().outage(false);
            assertThat(desk.place(1, "nursery", "other key", "order-2").status())
                    .isEqualTo(201);
        }
    }

    @Test
    void aClaimWhoseAnswerIsLostIsFoundAgain() throws Exception {
        try (OrderDesk desk = OrderDesk.start()) {
            desk.platform.faults().loseAnswers(1);
            assertThat(desk.place(0, "nursery", "key", "order-1").status()).isEqualTo(201);
            assertThat(desk.place(1, "nursery", "key", "order-1").status()).isEqualTo(201);
            assertThat(desk.runs()).containsExactly("order-1", 1);
        }
    }

    @Test
    void aClaimThatIsHeldBackIsWrittenAgainOnce() throws Exception {
        try (OrderDesk desk = OrderDesk.start()) {
            desk.platform.faults().delayWrites(1);
            assertThat(desk.place(0, "nursery", "key", "order-1").status()).isEqualTo(201);
            assertThat(desk.place(1, "nursery", "key", "order-1").status()).isEqualTo(201);
            assertThat(desk.runs()).containsExactly("order-1", 1);
        }
    }

    @Test
    void twoInstancesAtOnceRunAnOrderOnce() throws Exception {
        try (OrderDesk desk = OrderDesk.start();
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < 20; i++) {
                String order = "order-" + i;
                Callable<WebReply.Buffered> left = () -> desk.place(0, "nursery", order, order);
                Callable<WebReply.Buffered> right = () -> desk.place(1, "nursery", order, order);
                for (Future<WebReply.Buffered> reply : threads.invokeAll(List.of(left, right))) {
                    assertThat(reply.get().status()).isAnyOf(201, 409);
                }
                assertThat(desk.runs()).containsEntry(order, 1);
            }
        }
    }

    @Test
    void aKeyBelongsToItsCallerAndItsRequest() throws Exception {
        try (OrderDesk desk = OrderDesk.start()) {
            desk.place(0, "nursery", "key", "order-1");
            WebReply.Buffered other = desk.place(1, "council", "key", "order-2");
            assertThat(text(other)).contains("order-2");
            assertThat(other.headers().value("Idempotency-Replayed")).isEmpty();
            WebReply.Buffered reused = desk.place(1, "nursery", "key", "order-3");
            assertThat(reused.status()).isEqualTo(422);
            assertThat(desk.runs()).containsExactly("order-1", 1, "order-2", 1);
        }
    }

    @Test
    void pastTheBudgetOfWritesAnEarlyNotRunSaysWhenToComeBack() throws Exception {
        try (OrderDesk desk = new OrderDesk(null, 2, HaltPoint.none())) {
            assertThat(desk.place(0, "nursery", "key", "order-1").status()).isEqualTo(201);
            WebReply.Buffered refused = desk.place(0, "nursery", "key-2", "order-2");
            assertThat(text(refused)).contains("claim_limit");
            assertThat(refused.headers().value("X-Verdict")).hasValue("not-run");
            assertThat(refused.headers().value("Retry-After")).hasValue("2");
            assertThat(desk.runs()).containsExactly("order-1", 1);
        }
    }

    private static String text(WebReply.Buffered reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }
}
