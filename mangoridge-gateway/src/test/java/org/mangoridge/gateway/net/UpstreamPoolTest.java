package org.mangoridge.gateway.net;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.SystemClock;

import static com.google.common.truth.Truth.assertThat;

class UpstreamPoolTest {

    private static final long BYTES_RECEIVED = 32L << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    /** Answers the first connection with a body without end, until it is closed. */
    private static void writeWithoutEnd(ServerSocket listener) {
        byte[] body = "x".repeat(1 << 20).getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = listener.accept()) {
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            while (!listener.isClosed()) {
                out.write(body);
            }
        } catch (IOException e) {
            // The test has received enough and closed the connection.
            Thread.yield();
        }
    }

    /** Counts the bytes that arrive between two tasks of the event loop; confined to it. */
    private final class TurnCounter implements CallListener {

        private final CompletableFuture<Long> mostInOneTurn = new CompletableFuture<>();
        private long total;
        private long inThisTurn;
        private long most;

        void countTurns() {
            inThisTurn = 0;
            if (!mostInOneTurn.isDone()) {
                loop.execute(this::countTurns);
            }
        }

        @Override
        public void head(HttpResponse head) {
            // Only the body is counted.
        }

        @Override
        public void data(ByteBuf data) {
            inThisTurn += data.readableBytes();
            total += data.readableBytes();
            most = Math.max(most, inThisTurn);
            if (total > BYTES_RECEIVED) {
                mostInOneTurn.complete(most);
            }
        }

        @Override
        public void completed() {
            mostInOneTurn.completeExceptionally(new AssertionError("the body has an end"));
        }

        @Override
        public void failed(CallFailure failure) {
            mostInOneTurn.completeExceptionally(new AssertionError(failure.detail()));
        }
    }

    /** A server that wrote faster than it was read held the event loop for 16 reads in each turn. */
    @Test
    void connectionIsReadOnceInEachTurnOfTheEventLoop() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> writeWithoutEnd(listener));
            UpstreamPool pool = UpstreamPool.create(
                    loop, SystemClock.instance(), head -> Optional.empty(), new MetricRegistry(), TestBuffers.ample());
            TurnCounter counter = new TurnCounter();
            UpstreamRequest request = UpstreamRequest.withoutBody(
                    new HostPort("127.0.0.1", listener.getLocalPort()),
                    HttpMethod.GET,
                    "/",
                    new DefaultHttpHeaders(),
                    Duration.ofSeconds(5));
            UpstreamCall call = loop.submit(() -> pool.call(request, counter)).get();
            loop.execute(counter::countTurns);
            assertThat(counter.mostInOneTurn.get()).isAtMost((long) ReadLimit.MAX_READ_BYTES);
            loop.submit(call::cancel).sync();
        }
    }

    /** Heads of servers, complete or not, were charged to nothing; small headers take many times their bytes. */
    @ParameterizedTest
    @Timeout(30)
    @ValueSource(strings = {"", "\r\n"})
    void headsAreBoundedInTheSum(String end) throws Exception {
        int headers = 10_000;
        BufferMemory buffers = BufferMemory.of(headers * 100L, loop, (peer, bytes, peerBytes, usedBytes) -> {});
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            UpstreamPool pool = UpstreamPool.create(
                    loop, SystemClock.instance(), head -> Optional.empty(), new MetricRegistry(), buffers);
            CompletableFuture<CallFailure> failed = new CompletableFuture<>();
            CallListener caller = new CallListener() {
                @Override
                public void head(HttpResponse head) {
                    // The body is still to come.
                }

                @Override
                public void data(ByteBuf data) {
                    // There is none.
                }

                @Override
                public void completed() {
                    failed.completeExceptionally(new AssertionError("the answer has an end"));
                }

                @Override
                public void failed(CallFailure failure) {
                    failed.complete(failure);
                }
            };
            UpstreamRequest request = UpstreamRequest.withoutBody(
                    new HostPort("127.0.0.1", listener.getLocalPort()),
                    HttpMethod.GET,
                    "/",
                    new DefaultHttpHeaders(),
                    Duration.ofSeconds(5));
            loop.submit(() -> pool.call(request, caller)).sync();
            try (Socket server = listener.accept()) {
                String head = "HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(headers) + end;
                server.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                assertThat(failed.get().detail()).contains("memory");
                assertThat(loop.submit(buffers::usedBytes).get()).isEqualTo(0);
            }
        }
    }
}
