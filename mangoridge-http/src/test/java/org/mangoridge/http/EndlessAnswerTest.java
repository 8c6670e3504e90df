package org.mangoridge.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.Result;

import static com.google.common.truth.Truth.assertThat;

/** A server sends bytes without end. */
class EndlessAnswerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    /** More than a line may have, with what the buffers of both ends of a connection hold. */
    private static final long MOST_BYTES_READ = 32 << 20;

    private ServerSocket listening;
    private final AtomicLong written = new AtomicLong();

    @BeforeEach
    void listen() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
    }

    /** Writes letters, until the peer closes or far more than allowed has been read. */
    private void writeOn(String head) {
        byte[] letters = new byte[64 << 10];
        Arrays.fill(letters, (byte) 'x');
        try (Socket socket = listening.accept();
                OutputStream out = socket.getOutputStream()) {
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            while (written.get() < 2 * MOST_BYTES_READ) {
                out.write(letters);
                written.addAndGet(letters.length);
            }
        } catch (IOException e) {
            assertThat(written.get()).isGreaterThan(0);
        }
    }

    /** A line without end in a streamed answer was kept in memory until it was full. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\\r\\n\\r\\n", "HTTP/1.1 200 OK\\r\\n\\r\\ndata: a\\n\\ndata: "})
    void aLineWithoutEndFailsTheStream(String head) throws Exception {
        Thread server = Thread.ofVirtual().start(() -> writeOn(head.translateEscapes()));
        HttpCall call = HttpCall.get(URI.create("http://127.0.0.1:" + listening.getLocalPort() + "/"), TIMEOUT);
        try (HttpTransport transport = HttpTransport.create(TIMEOUT);
                HttpLineStream stream = transport.openStream(call).value()) {
            Result<Optional<String>, HttpFailure> line = stream.nextLine(TIMEOUT);
            while (line.isOk() && line.value().isPresent()) {
                line = stream.nextLine(TIMEOUT);
            }
            assertThat(line.isOk()).isFalse();
            assertThat(line.error().detail()).contains("line is larger than");
        }
        server.join();
        assertThat(written.get()).isLessThan(MOST_BYTES_READ);
    }
}
