package org.mangoridge.engine.plain;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineError;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpTransport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Breaks calls off at each step, with a server on plain sockets.
 *
 * <p>Guards against a wrong verdict on whether a call may have run, and against an answer that is truncated or belongs
 * to another attempt being returned as the answer of the call.
 */
class HttpPlainServiceTest {

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final AttemptId ATTEMPT = AttemptId.first(RequestId.of("entry-1-1-17"));

    @Test
    void refusedConnectionIsNotRun() throws IOException {
        ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closed.close();
        HostPort address = HostPort.parse("127.0.0.1:" + closed.getLocalPort());
        assertThat(call(address, LONG_TIMEOUT).error().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void timeoutBeforeAnyAnswerMayHaveRun() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HostPort address = HostPort.parse("127.0.0.1:" + silent.getLocalPort());
            assertThat(call(address, SHORT_TIMEOUT).error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    @Test
    void connectionClosedBeforeAnyAnswerMayHaveRun() throws IOException {
        try (ServerSocket closing = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> closeNextConnection(closing));
            HostPort address = HostPort.parse("127.0.0.1:" + closing.getLocalPort());
            assertThat(call(address, LONG_TIMEOUT).error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    static Stream<Arguments> truncatedAnswers() {
        String head = "HTTP/1.1 201 Created\r\n";
        return Stream.of(
                Arguments.of("no answer", "", Verdict.MAY_HAVE_RUN),
                Arguments.of("part of the head", head + "Content-Le", Verdict.MAY_HAVE_RUN),
                Arguments.of("head only", head + "Content-Length: 10\r\n\r\n", Verdict.RAN),
                Arguments.of("part of the body", head + "Content-Length: 10\r\n\r\n12345", Verdict.RAN),
                Arguments.of("part of a chunk", head + "Transfer-Encoding: chunked\r\n\r\na\r\n12345", Verdict.RAN),
                Arguments.of("no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", Verdict.RAN),
                Arguments.of("body of unknown length", head + "\r\n12345", Verdict.RAN));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("truncatedAnswers")
    void truncatedAnswerIsAnErrorThatIsNeverNotRun(String name, String answer, Verdict verdict) throws IOException {
        try (RawServer server = RawServer.start(connection -> {
            RawServer.write(connection, answer);
            connection.close();
        })) {
            assertThat(call(server.address(), LONG_TIMEOUT).error().verdict()).isEqualTo(verdict);
            assertThat(server.requests()).isEqualTo(1);
        }
    }

    @Test
    void completeAnswerIsReturned() throws IOException {
        try (RawServer server = RawServer.start(
                connection -> RawServer.write(connection, "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\n12345"))) {
            assertThat(call(server.address(), LONG_TIMEOUT).value().text()).isEqualTo("12345");
        }
    }

    @Test
    void answerOfAnotherAttemptIsDropped() throws IOException {
        try (RawServer server = RawServer.start(connection -> RawServer.write(
                connection,
                "HTTP/1.1 201 Created\r\nX-Attempt-Id: entry-1-1-16.1\r\nContent-Length: 5\r\n\r\n12345"))) {
            assertThat(call(server.address(), LONG_TIMEOUT).error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    @Test
    void lateAnswerIsNotReturnedByNextCall() throws IOException {
        CountDownLatch answerAllowed = new CountDownLatch(1);
        try (HttpTransport transport = HttpTransport.create(LONG_TIMEOUT);
                RawServer server = RawServer.start(connection -> answerLate(connection, answerAllowed))) {
            PlainService service = HttpPlainService.create(transport);
            Result<HttpAnswer, EngineError> first = service.call(plainCall(server.address(), ATTEMPT, SHORT_TIMEOUT));
            assertThat(first.error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            answerAllowed.countDown();
            Result<HttpAnswer, EngineError> second =
                    service.call(plainCall(server.address(), ATTEMPT.next(), LONG_TIMEOUT));
            assertThat(second.value().text()).isEqualTo("fresh");
        }
    }

    @Test
    void postOnIdleConnectionThatBreaksIsNotSentAgain() throws IOException {
        try (HttpTransport transport = HttpTransport.create(LONG_TIMEOUT);
                RawServer server = RawServer.start(new AnswerThenClose())) {
            PlainService service = HttpPlainService.create(transport);
            assertThat(service.call(plainCall(server.address(), ATTEMPT, LONG_TIMEOUT))
                            .isOk())
                    .isTrue();
            Result<HttpAnswer, EngineError> second =
                    service.call(plainCall(server.address(), ATTEMPT.next(), LONG_TIMEOUT));
            assertThat(second.error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(server.requests()).isEqualTo(2);
        }
    }

    private static void answerLate(Socket connection, CountDownLatch answerAllowed) throws IOException {
        boolean isFirst = answerAllowed.getCount() > 0;
        try {
            answerAllowed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        RawServer.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + (isFirst ? "stale" : "fresh"));
    }

    private static void closeNextConnection(ServerSocket listener) {
        try {
            listener.accept().close();
        } catch (IOException e) {
            // the listener was closed
        }
    }

    private static Result<HttpAnswer, EngineError> call(HostPort address, Duration timeout) {
        try (HttpTransport transport = HttpTransport.create(LONG_TIMEOUT)) {
            return HttpPlainService.create(transport).call(plainCall(address, ATTEMPT, timeout));
        }
    }

    private static PlainCall plainCall(HostPort address, AttemptId attempt, Duration timeout) {
        return new PlainCall(
                attempt,
                address,
                "POST",
                "/orders",
                Headers.empty(),
                "body".getBytes(StandardCharsets.US_ASCII),
                timeout);
    }

    /** Answers the first request and closes the connection at the second. */
    private static final class AnswerThenClose implements RawServer.RequestHandler {

        private boolean answered;

        @Override
        public synchronized void handle(Socket connection) throws IOException {
            if (answered) {
                connection.close();
                return;
            }
            answered = true;
            RawServer.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    }
}
