package org.mangoridge.gateway.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.SystemClock;

import static com.google.common.truth.Truth.assertThat;

/** A server answers a long upload at once, without a length, and resets the connection while the upload is written. */
@Timeout(60)
class EarlyAnswerTest {

    private static final int CALLS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final UpstreamPool pool = UpstreamPool.create(
            loop,
            SystemClock.instance(),
            head -> Optional.empty(),
            new MetricRegistry(),
            BufferMemory.of(64 << 20, loop, (peer, bytes, peerBytes, usedBytes) -> {}));
    private ServerSocket listening;

    @BeforeEach
    void listen() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
        group.shutdownGracefully();
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

    /** Pauses reading for a while once the head is there, as for a caller that reads slowly. */
    private final class Listener implements CallListener {

        private final CompletableFuture<String> end = new CompletableFuture<>();
        private final long pauseMillis;
        private UpstreamCall call;

        Listener(long pauseMillis) {
            this.pauseMillis = pauseMillis;
        }

        @Override
        public void head(HttpResponse head) {
            if (pauseMillis > 0) {
                call.setReading(false);
                loop.schedule(() -> call.setReading(true), pauseMillis, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void data(ByteBuf data) {
            // Only the end matters.
        }

        @Override
        public void completed() {
            end.complete("complete");
        }

        @Override
        public void failed(CallFailure failure) {
            end.complete("failed");
        }
    }

    private CompletableFuture<String> upload(int bytes, long pauseMillis) throws Exception {
        UpstreamRequest request = new UpstreamRequest(
                Optional.empty(),
                new HostPort("127.0.0.1", listening.getLocalPort()),
                HttpMethod.POST,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.wrappedBuffer(new byte[bytes]),
                Duration.ZERO,
                Duration.ofSeconds(5));
        Listener listener = new Listener(pauseMillis);
        loop.submit(() -> listener.call = pool.call(request, listener)).get();
        return listener.end;
    }

    private static Stream<Arguments> timings() {
        return Stream.of(0, 14, 400_000).flatMap(body -> Stream.of(300_000, 6_000_000)
                .flatMap(upload -> Stream.of(0, 60_000, 250_000).flatMap(reset -> Stream.of(0, 10, 60)
                        .map(pause -> Arguments.of(body, upload, reset, pause)))));
    }

    // Guards against the part of an answer that arrived before a reset and passes for the whole one.
    @ParameterizedTest
    @MethodSource("timings")
    void anAnswerThatIsResetDuringTheUploadIsNotComplete(
            int bodyBytes, int uploadBytes, int resetAfterBytes, long pauseMillis) throws Exception {
        Thread.ofVirtual().start(() -> answerAndReset(bodyBytes, resetAfterBytes));
        List<String> ends = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            ends.add(upload(uploadBytes, pauseMillis).get(10, TimeUnit.SECONDS));
        }
        assertThat(ends).doesNotContain("complete");
    }
}
