package org.mangoridge.gateway.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.VirtualClock;

import static com.google.common.truth.Truth.assertThat;

/** Bytes of a server that are left on a kept connection when the next call begins. */
@Timeout(30)
class UpstreamReuseTest {

    private static final String ANSWER = "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nown";
    private static final Duration IDLE = Duration.ofMillis(10);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final VirtualClock clock = VirtualClock.create();
    private final MetricRegistry registry = new MetricRegistry();
    private final UpstreamPool pool = UpstreamPool.create(
            loop,
            clock,
            head -> Optional.ofNullable(head.headers().get("Id")).map(RequestId::of),
            registry,
            TestBuffers.ample());
    private final BufferMemory memory = BufferMemory.of(1000, loop, (peer, bytes, peerBytes, usedBytes) -> {});
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        group.shutdownGracefully();
    }

    private CompletableFuture<Result<BodyCollector.Response, CallFailure>> call(HttpMethod method) {
        CompletableFuture<Result<BodyCollector.Response, CallFailure>> answer = new CompletableFuture<>();
        UpstreamRequest request = new UpstreamRequest(
                Optional.empty(),
                new HostPort("127.0.0.1", server.getLocalPort()),
                method,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                Duration.ofHours(1),
                Duration.ofSeconds(5));
        pool.call(request, BodyCollector.of(memory, request.address(), 100, answer::complete));
        return answer;
    }

    private CompletableFuture<Result<BodyCollector.Response, CallFailure>> callOnLoop() throws Exception {
        return loop.submit(() -> call(HttpMethod.GET)).get();
    }

    private static void readRequest(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("no request, but the end of the connection");
            }
            text.append((char) next);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private Socket answerFirstCall(String answer) throws Exception {
        CompletableFuture<Result<BodyCollector.Response, CallFailure>> first = callOnLoop();
        Socket socket = server.accept();
        readRequest(socket);
        write(socket, answer);
        assertThat(first.get().value().body()).hasLength(3);
        return socket;
    }

    /** Answers a call on a new connection, and fails if there is none. */
    private void assertNextCallOpensAConnection(CompletableFuture<Result<BodyCollector.Response, CallFailure>> call)
            throws Exception {
        server.setSoTimeout(10_000);
        try (Socket second = server.accept()) {
            readRequest(second);
            write(second, ANSWER);
            assertThat(new String(call.get().value().body(), StandardCharsets.UTF_8))
                    .isEqualTo("own");
        }
    }

    @Test
    void aConnectionIsKept() throws Exception {
        try (Socket socket = answerFirstCall(ANSWER)) {
            clock.advance(IDLE);
            CompletableFuture<Result<BodyCollector.Response, CallFailure>> second = callOnLoop();
            readRequest(socket);
            write(socket, ANSWER);
            assertThat(second.get().isOk()).isTrue();
            assertThat(pool.opened()).isEqualTo(1);
        }
    }

    // Guards against the answer of another call after the process stood still: its bytes wait unread in the socket.
    @Test
    void aConnectionWithUnreadBytesIsNotReusedAfterThePause() throws Exception {
        try (Socket socket = answerFirstCall(ANSWER);
                ServerSocket controlServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket control = new Socket(controlServer.getInetAddress(), controlServer.getLocalPort());
                Socket controlPeer = controlServer.accept()) {
            CompletableFuture<Boolean> paused = new CompletableFuture<>();
            CompletableFuture<CompletableFuture<Result<BodyCollector.Response, CallFailure>>> call =
                    new CompletableFuture<>();
            loop.execute(() -> {
                paused.complete(true);
                try {
                    control.getInputStream().read();
                } catch (IOException e) {
                    call.completeExceptionally(e);
                }
                clock.advance(IDLE);
                call.complete(call(HttpMethod.GET));
            });
            paused.get();
            write(socket, "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ncopy");
            write(controlPeer, "x");
            assertNextCallOpensAConnection(call.get());
            assertThat(registry.counter("connections.surplus").getCount()).isEqualTo(1);
        }
    }

    // Guards against a copy whose head is completed, or whose rest is read as an answer, when the next call waits.
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 X\r\n", "HTTP/1.1 2", "copy", "\r\n"})
    void aConnectionWithPartOfAnotherAnswerIsNotReused(String rest) throws Exception {
        try (Socket socket = answerFirstCall(ANSWER + rest)) {
            clock.advance(IDLE);
            assertNextCallOpensAConnection(callOnLoop());
        }
    }
}
