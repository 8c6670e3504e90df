package org.mangoridge.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mangoridge.core.Result;
import org.mangoridge.core.verdict.AttemptProgress;

import static com.google.common.truth.Truth.assertThat;

/** A server answers with bytes that are no head of an answer. */
@Timeout(30)
class InvalidHeadTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private ServerSocket listening;

    @BeforeEach
    void listen() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
    }

    private void answer(String head) {
        try (Socket socket = listening.accept()) {
            InputStream in = socket.getInputStream();
            for (int end = 0; end < 4; ) {
                int next = in.read();
                end = next == "\r\n\r\n".charAt(end) ? end + 1 : 0;
            }
            socket.getOutputStream()
                    .write((head + "Content-Length: 4\r\n\r\nbody").getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            assertThat(listening.isClosed()).isFalse();
        }
    }

    private static Stream<String> heads() {
        Stream<String> statusLines = Stream.of(
                        "000", "0", "099", "20", "+20", "+200", "2 0", "00200", "600", "999", "1000", "20O", "")
                .map(status -> "HTTP/1.1 " + status + " X\r\n");
        Stream<String> others = Stream.of("HTTP/2.0 200 X\r\n", "RTSP/1.0 200 X\r\n", "xHTTP/1.1 200 X\r\n");
        Stream<String> names = Stream.of(
                        "Odd name: 1",
                        "Odd\tname: 1",
                        "Name : 1",
                        "Odd\u0001name: 1",
                        "Odd\u0000name: 1",
                        "\u0001Name: 1",
                        "Content-Length odd: 2",
                        "Content-Length : 2",
                        "Transfer-Encoding odd: chunked",
                        " Name: 1")
                .map(line -> "HTTP/1.1 200 X\r\n" + line + "\r\n");
        return Stream.of(statusLines, others, names).flatMap(each -> each);
    }

    private HttpCall call() {
        return HttpCall.get(URI.create("http://127.0.0.1:" + listening.getLocalPort() + "/"), TIMEOUT);
    }

    // Guards against status 000 and heads with odd field names that pass for an answer.
    @ParameterizedTest
    @MethodSource("heads")
    void anAnswerWithAnInvalidHeadFailsTheCall(String head) throws Exception {
        Thread server = Thread.ofVirtual().start(() -> answer(head));
        try (HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            Result<HttpAnswer, HttpFailure> answer = transport.send(call());
            assertThat(answer.isOk()).isFalse();
            assertThat(answer.error().progress()).isAtLeast(AttemptProgress.REQUEST_SENT);
        }
        server.join();
    }

    // The same for an answer that is read line by line.
    @ParameterizedTest
    @MethodSource("heads")
    void aStreamWithAnInvalidHeadFailsTheCall(String head) throws Exception {
        Thread server = Thread.ofVirtual().start(() -> answer(head));
        try (HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            assertThat(transport.openStream(call()).isOk()).isFalse();
        }
        server.join();
    }
}
