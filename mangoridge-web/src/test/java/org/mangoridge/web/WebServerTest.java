package org.mangoridge.web;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.HttpTransport;

import static com.google.common.truth.Truth.assertThat;

class WebServerTest {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int MAX_BODY = 1000;

    @Test
    void streamsEventsToTheEnd() {
        WebHandler handler = request -> WebReply.events(Headers.empty(), sink -> {
            for (int i = 0; i < 500; i++) {
                sink.writeEvent(Integer.toString(i));
            }
        });
        List<String> lines = new ArrayList<>();
        try (WebServer server = WebServer.start(ANY_PORT, MAX_BODY, 1, handler);
                HttpTransport transport = HttpTransport.create(TIMEOUT);
                HttpLineStream stream = transport
                        .openStream(HttpCall.get(server.address().httpUri("/"), TIMEOUT))
                        .value()) {
            Optional<String> line = stream.nextLine(TIMEOUT).value();
            while (line.isPresent()) {
                lines.add(line.get());
                line = stream.nextLine(TIMEOUT).value();
            }
        }
        lines.removeIf(String::isEmpty);
        assertThat(lines).hasSize(500);
        assertThat(lines.get(499)).isEqualTo("data: 499");
    }

    @Test
    void anAbortedStreamIsNotWhole() {
        WebHandler handler = request -> WebReply.events(Headers.empty(), sink -> {
            sink.writeEvent("first");
            sink.abort();
        });
        try (WebServer server = WebServer.start(ANY_PORT, MAX_BODY, 1, handler);
                HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            HttpCall call = HttpCall.get(server.address().httpUri("/"), TIMEOUT);
            assertThat(transport
                            .openStream(call)
                            .flatMap(WebServerTest::readWhole)
                            .isOk())
                    .isFalse();
        }
    }

    @Test
    void refusesALargeBody() {
        try (WebServer server = WebServer.start(ANY_PORT, MAX_BODY, 1, request -> WebReply.text(200, "ok"));
                HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            HttpCall call = HttpCall.postJson(server.address().httpUri("/"), "x".repeat(MAX_BODY + 1), TIMEOUT);
            HttpAnswer answer = transport.send(call).value();
            assertThat(answer.status()).isEqualTo(413);
            assertThat(answer.text()).contains("body_too_large");
        }
    }

    /** A connection that is closed on unread bytes is reset, and the answer with it. */
    @Test
    void theRefusalOfALargeBodyIsNeverLost() {
        try (WebServer server = WebServer.start(ANY_PORT, MAX_BODY, 1, request -> WebReply.text(200, "ok"));
                HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            String body = "x".repeat(500_000);
            for (int i = 0; i < 200; i++) {
                HttpCall call = HttpCall.postJson(server.address().httpUri("/"), body, TIMEOUT);
                assertThat(transport.send(call).map(HttpAnswer::status)).isEqualTo(Result.ok(413));
            }
        }
    }

    @Test
    void noticesAPeerThatGoesWhileTheHandlerWorks() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        WebHandler handler = request -> {
            request.connection().onClose(gone::countDown);
            arrived.countDown();
            await(gone);
            return WebReply.text(200, "late");
        };
        try (WebServer server = WebServer.start(ANY_PORT, MAX_BODY, 1, handler)) {
            try (Socket socket = new Socket("127.0.0.1", server.address().port())) {
                socket.getOutputStream()
                        .write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
                                .getBytes(StandardCharsets.UTF_8));
                await(arrived);
            }
            assertThat(gone.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static Result<String, HttpFailure> readWhole(HttpLineStream stream) {
        try (stream) {
            return stream.remainingText(TIMEOUT);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
