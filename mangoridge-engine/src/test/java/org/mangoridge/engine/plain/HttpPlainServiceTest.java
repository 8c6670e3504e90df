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

/** Stops an attempt at each step over bare sockets. */
class HttpPlainServiceTest {

    private static final Duration LONG = Duration.ofSeconds(20);
    private static final Duration SHORT = Duration.ofMillis(300);
    private static final AttemptId ATTEMPT = AttemptId.first(RequestId.of("entry-1-1-17"));

    @Test
    void nothingListens() throws IOException {
        ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closed.close();
        HostPort address = HostPort.parse("127.0.0.1:" + closed.getLocalPort());
        assertThat(call(address, LONG).error().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void theServerAcceptsAndReadsNothing() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HostPort address = HostPort.parse("127.0.0.1:" + silent.getLocalPort());
            assertThat(call(address, SHORT).error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    @Test
    void theServerClosesOnConnect() throws IOException {
        try (ServerSocket closing = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> closeNext(closing));
            HostPort address = HostPort.parse("127.0.0.1:" + closing.getLocalPort());
            assertThat(call(address, LONG).error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    static Stream<Arguments> cutAnswers() {
        String head = "HTTP/1.1 201 Created\r\n";
        return Stream.of(
                Arguments.of("none", "", Verdict.MAY_HAVE_RUN),
                Arguments.of("half a head", head + "Content-Le", Verdict.MAY_HAVE_RUN),
                Arguments.of("a head", head + "Content-Length: 10\r\n\r\n", Verdict.RAN),
                Arguments.of("half a body", head + "Content-Length: 10\r\n\r\n12345", Verdict.RAN),
                Arguments.of("half a chunk", head + "Transfer-Encoding: chunked\r\n\r\na\r\n12345", Verdict.RAN),
                Arguments.of("no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", Verdict.RAN),
                Arguments.of("a body of unknown length", head + "\r\n12345", Verdict.RAN));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cutAnswers")
    void aCutAnswerIsNeverWholeAndNeverNotRun(String name, String answer, Verdict verdict) throws IOException {
        try (RawServer server = RawServer.start(connection -> {
            RawServer.write(connection, answer);
            connection.close();
        })) {
            assertThat(call(server.address(), LONG).error().verdict()).isEqualTo(verdict);
            assertThat(server.requests()).isEqualTo(1);
        }
    }

    @Test
    void aWholeAnswerIsPassed() throws IOException {
        try (RawServer server = RawServer.start(
                connection -> RawServer.write(connection, "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\n12345"))) {
            assertThat(call(server.address(), LONG).value().text()).isEqualTo("12345");
        }
    }

    @Test
    void anAnswerOfAnotherAttemptIsDropped() throws IOException {
        try (RawServer server = RawServer.start(connection -> RawServer.write(
                connection,
                "HTTP/1.1 201 Created\r\nX-Attempt-Id: entry-1-1-16.1\r\nContent-Length: 5\r\n\r\n12345"))) {
            assertThat(call(server.address(), LONG).error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    @Test
    void aLateAnswerNeverReachesTheNextCall() throws IOException {
        CountDownLatch late = new CountDownLatch(1);
        try (HttpTransport transport = HttpTransport.create(LONG);
                RawServer server = RawServer.start(connection -> answerLate(connection, late))) {
            PlainService service = HttpPlainService.create(transport);
            Result<HttpAnswer, EngineError> first = service.call(plainCall(server.address(), ATTEMPT, SHORT));
            assertThat(first.error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            late.countDown();
            Result<HttpAnswer, EngineError> second = service.call(plainCall(server.address(), ATTEMPT.next(), LONG));
            assertThat(second.value().text()).isEqualTo("fresh");
        }
    }

    @Test
    void aCallOnAnIdleConnectionThatBreaksIsNotSentAgain() throws IOException {
        try (HttpTransport transport = HttpTransport.create(LONG);
                RawServer server = RawServer.start(new AnswerThenBreak())) {
            PlainService service = HttpPlainService.create(transport);
            assertThat(service.call(plainCall(server.address(), ATTEMPT, LONG)).isOk())
                    .isTrue();
            Result<HttpAnswer, EngineError> second = service.call(plainCall(server.address(), ATTEMPT.next(), LONG));
            assertThat(second.error().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(server.requests()).isEqualTo(2);
        }
    }

    private static void answerLate(Socket connection, CountDownLatch late) throws IOException {
        boolean isFirst = late.getCount() > 0;
        try {
            late.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        RawServer.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + (isFirst ? "stale" : "fresh"));
    }

    private static void closeNext(ServerSocket listener) {
        try {
            listener.accept().close();
        } catch (IOException e) {
            // the listener was closed
        }
    }

    private static Result<HttpAnswer, EngineError> call(HostPort address, Duration timeout) {
        try (HttpTransport transport = HttpTransport.create(LONG)) {
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

    /** Answers the first request and breaks the connection at the second. */
    private static final class AnswerThenBreak implements RawServer.OnRequest {

        private boolean answered;

        @Override
        public synchronized void answer(Socket connection) throws IOException {
            if (answered) {
                connection.close();
                return;
            }
            answered = true;
            RawServer.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    }
}
