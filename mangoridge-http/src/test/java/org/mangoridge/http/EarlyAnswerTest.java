package org.mangoridge.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mangoridge.core.Result;

import static com.google.common.truth.Truth.assertThat;

/** A server answers a long upload at once, without a length, and resets the connection while the upload is written. */
@Timeout(60)
class EarlyAnswerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int CALLS = 6;

    private ServerSocket listening;

    @BeforeEach
    void listen() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
    }

    private void answerAndReset(int bodyBytes, int resetAfterBytes) {
        while (!listening.isClosed()) {
            try (Socket socket = listening.accept()) {
                socket.getInputStream().readNBytes(100);
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n" + "x".repeat(bodyBytes))
                                .getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().readNBytes(resetAfterBytes);
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                Thread.yield();
            }
        }
    }

    private static Stream<Arguments> timings() {
        return Stream.of(0, 14, 20_000)
                .flatMap(body -> Stream.of(300_000, 6_000_000).flatMap(upload -> Stream.of(0, 1_000, 60_000, 250_000)
                        .map(reset -> Arguments.of(body, upload, reset))));
    }

    private HttpCall upload(int bytes) {
        URI uri = URI.create("http://127.0.0.1:" + listening.getLocalPort() + "/");
        return new HttpCall("POST", uri, Headers.empty(), new byte[bytes], TIMEOUT);
    }

    // Guards against the part of an answer that arrived before a reset and passes for the whole one.
    @ParameterizedTest
    @MethodSource("timings")
    void anAnswerThatIsResetDuringTheUploadIsNotComplete(int bodyBytes, int uploadBytes, int resetAfterBytes)
            throws Exception {
        Thread.ofVirtual().start(() -> answerAndReset(bodyBytes, resetAfterBytes));
        List<Result<HttpAnswer, HttpFailure>> complete = new ArrayList<>();
        try (HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            for (int i = 0; i < CALLS; i++) {
                Result<HttpAnswer, HttpFailure> answer = transport.send(upload(uploadBytes));
                if (answer.isOk()) {
                    complete.add(answer);
                }
            }
        }
        assertThat(complete).isEmpty();
    }

    // The same for an answer that is read line by line.
    @ParameterizedTest
    @MethodSource("timings")
    void aStreamThatIsResetDuringTheUploadDoesNotEnd(int bodyBytes, int uploadBytes, int resetAfterBytes)
            throws Exception {
        Thread.ofVirtual().start(() -> answerAndReset(bodyBytes, resetAfterBytes));
        int ended = 0;
        try (HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            for (int i = 0; i < CALLS; i++) {
                Result<HttpLineStream, HttpFailure> opened = transport.openStream(upload(uploadBytes));
                if (!opened.isOk()) {
                    continue;
                }
                try (HttpLineStream stream = opened.value()) {
                    Result<Optional<String>, HttpFailure> line = stream.nextLine(TIMEOUT);
                    while (line.isOk() && line.value().isPresent()) {
                        line = stream.nextLine(TIMEOUT);
                    }
                    ended += line.isOk() ? 1 : 0;
                }
            }
        }
        assertThat(ended).isEqualTo(0);
    }
}
