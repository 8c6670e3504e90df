package org.mangoridge.gateway.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.Range;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.dispatch.config.CallerLimits;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FrontServerTest {

    /** More than the socket buffers of both ends of a connection over loopback hold. */
    private static final int BEYOND_SOCKET_BUFFERS = 64 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final VirtualClock clock = VirtualClock.create();
    private final List<Socket> callers = new ArrayList<>();

    private static final FrontState SERVING = new FrontState() {
        @Override
        public CallerLimits limits() {
            return CallerLimits.DEFAULT;
        }

        @Override
        public boolean draining() {
            return false;
        }
    };

    @AfterEach
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        group.shutdownGracefully();
    }

    private void connect(FrontServer server, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            callers.add(new Socket("127.0.0.1", server.port()));
        }
        while (group.next().submit(server::connectionCount).get() < callers.size()) {
            Thread.onSpinWait();
        }
    }

    /** Closing several connections in one timeout check must not break that check or the next one. */
    @Test
    void idleConnectionsAreClosedInEveryTimeoutCheck() throws Exception {
        FrontServer server = FrontServer.create(
                group.next(), clock, SERVING, exchange -> {}, BodyMemory.of(1000), TestBuffers.ample(), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        for (int round = 0; round < 2; round++) {
            connect(server, 5);
            clock.advance(CallerLimits.DEFAULT.idleTimeout().plus(Duration.ofSeconds(1)));
            group.next().submit(server::closeTimedOut).sync();
            for (Socket caller : callers) {
                assertThat(caller.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(group.next().submit(server::connectionCount).get()).isEqualTo(0);
            callers.clear();
        }
    }

    /** A response without length and chunks whose caller had not read it looked complete when the instance stopped. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseWithoutFramingThatIsCutIsReset(boolean finished) throws Exception {
        NioEventLoopGroup stopped = new NioEventLoopGroup(1);
        CompletableFuture<CallerExchange> received = new CompletableFuture<>();
        FrontServer server = FrontServer.create(
                stopped.next(), clock, SERVING, received::complete, BodyMemory.of(1000), TestBuffers.ample(), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream().write("GET / HTTP/1.0\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            CallerExchange exchange = received.get();
            stopped.next()
                    .submit(() -> {
                        exchange.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
                        exchange.write(Unpooled.wrappedBuffer(new byte[BEYOND_SOCKET_BUFFERS]));
                        if (finished) {
                            exchange.finish();
                        }
                    })
                    .sync();
            stopped.next().submit(server::endRequests).sync();
            stopped.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
            assertThrows(IOException.class, () -> caller.getInputStream().readAllBytes());
        }
    }

    /** A response without length and chunks that its caller reads is whole and ends as such. */
    @Test
    void aResponseWithoutFramingThatIsReadEndsRegularly() throws Exception {
        CompletableFuture<CallerExchange> received = new CompletableFuture<>();
        FrontServer server = FrontServer.create(
                group.next(), clock, SERVING, received::complete, BodyMemory.of(1000), TestBuffers.ample(), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream().write("GET / HTTP/1.0\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            CallerExchange exchange = received.get();
            group.next()
                    .submit(() -> {
                        exchange.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
                        exchange.write(Unpooled.wrappedBuffer(new byte[BEYOND_SOCKET_BUFFERS]));
                        exchange.finish();
                    })
                    .sync();
            assertThat(caller.getInputStream().readAllBytes().length).isAtLeast(BEYOND_SOCKET_BUFFERS);
        }
    }

    /** Kept connections brought requests to an instance that shut down; a new one is left to its first request. */
    @Test
    void connectionsAreClosedOnceTheyHaveBeenIdle() throws Exception {
        FrontServer server = FrontServer.create(
                group.next(), clock, SERVING, exchange -> {}, BodyMemory.of(1000), TestBuffers.ample(), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        connect(server, 1);
        clock.advance(Duration.ofMillis(100));
        connect(server, 2);
        group.next().submit(() -> server.closeIdle(Duration.ofMillis(100))).sync();
        assertThat(callers.getFirst().getInputStream().read()).isEqualTo(-1);
        assertThat(group.next().submit(server::connectionCount).get()).isEqualTo(2);
    }

    /** A request whose body came slowly, across the shutdown signal, was not waited for. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /a HTTP/1.1\r\nHost: a",
                "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
                "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"
            })
    void aRequestThatIsReadInPartIsSeen(String part) throws Exception {
        FrontServer server = FrontServer.create(
                group.next(), clock, SERVING, exchange -> {}, BodyMemory.of(1000), TestBuffers.ample(), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        connect(server, 1);
        assertThat(group.next().submit(server::requestsBeingRead).get()).isEqualTo(0);
        callers.getFirst().getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
        while (group.next().submit(server::requestsBeingRead).get() == 0) {
            Thread.onSpinWait();
        }
    }

    /** Each event of a stream was a write to the socket, so that one read from a server could cost thousands of them. */
    @Test
    void writesOfOneTurnAreFlushedTogether() throws Exception {
        CompletableFuture<CallerExchange> received = new CompletableFuture<>();
        FrontServer server = FrontServer.create(
                group.next(), clock, SERVING, received::complete, BodyMemory.of(1000), TestBuffers.ample(), 64);
        FlushCounter flushes = new FlushCounter();
        Channel listening = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(flushes);
                        server.accept(channel);
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        try (Socket caller = new Socket("127.0.0.1", ((InetSocketAddress) listening.localAddress()).getPort())) {
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            CallerExchange exchange = received.get();
            group.next().submit(() -> writeEvents(exchange)).sync();
            // One for the head and one for all events.
            assertThat(group.next().submit(() -> flushes.count).get()).isEqualTo(2);
        }
    }

    /** A response that waited for a slow caller counted as sent, so that a shutdown could cut it. */
    @Test
    void aResponseThatItsCallerHasNotReadIsUnsent() throws Exception {
        CompletableFuture<CallerExchange> received = new CompletableFuture<>();
        FrontServer server = FrontServer.create(
                group.next(), clock, SERVING, received::complete, BodyMemory.of(1000), TestBuffers.ample(), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            CallerExchange exchange = received.get();
            assertThat(group.next().submit(server::unsentResponses).get()).isEqualTo(1);
            byte[] body = new byte[BEYOND_SOCKET_BUFFERS];
            group.next()
                    .submit(() -> exchange.respond(
                            HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(body)))
                    .sync();
            assertThat(group.next().submit(server::requestsInProgress).get()).isEqualTo(0);
            assertThat(group.next().submit(server::unsentResponses).get()).isEqualTo(1);
            caller.getInputStream().readNBytes(body.length);
            while (group.next().submit(server::unsentResponses).get() > 0) {
                Thread.onSpinWait();
            }
        }
    }

    /** Responses that callers didn't read were charged to nobody, so that 80 of 8 MB filled the heap. */
    @ParameterizedTest
    @Timeout(30)
    @CsvSource({"HTTP/1.1, false", "HTTP/1.1, true", "HTTP/1.0, true"})
    void responsesThatAreNotReadAreBoundedInTheSum(String version, boolean inParts) throws Exception {
        BufferMemory buffers = BufferMemory.of(
                BEYOND_SOCKET_BUFFERS * 3L / 2, group.next(), (peer, bytes, peerBytes, usedBytes) -> {});
        BlockingQueue<CallerExchange> received = new LinkedBlockingQueue<>();
        FrontServer server =
                FrontServer.create(group.next(), clock, SERVING, received::add, BodyMemory.of(1000), buffers, 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        connect(server, 2);
        int[] sizes = {BEYOND_SOCKET_BUFFERS + (64 << 10), BEYOND_SOCKET_BUFFERS};
        CompletableFuture<Void> told = new CompletableFuture<>();
        for (int i = 0; i < sizes.length; i++) {
            callers.get(i)
                    .getOutputStream()
                    .write(("GET / " + version + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            CallerExchange exchange = received.take();
            if (i == 0) {
                exchange.onDisconnect(() -> told.complete(null));
            }
            ByteBuf body = Unpooled.wrappedBuffer(new byte[sizes[i]]);
            group.next().submit(() -> respond(exchange, body, inParts)).sync();
        }
        assertThat(group.next().submit(buffers::usedBytes).get()).isIn(Range.closed(64L << 20, 65L << 20));
        assertThat(isCut(callers.getFirst(), sizes[0], version)).isTrue();
        if (inParts) {
            told.get();
        }
        assertThat(callers.getLast().getInputStream().readNBytes(sizes[1])).hasLength(sizes[1]);
    }

    /** A connection whose reading had stopped behind a slow request must read on once that is answered. */
    @Test
    @Timeout(30)
    void pipelinedRequestsBeyondTheLimitAreAllAnswered() throws Exception {
        BlockingQueue<CallerExchange> slow = new LinkedBlockingQueue<>();
        FrontServer server = FrontServer.create(
                group.next(),
                clock,
                SERVING,
                exchange -> {
                    if (exchange.request().uri().equals("/slow")) {
                        slow.add(exchange);
                    } else {
                        respond(exchange, Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII), false);
                    }
                },
                BodyMemory.of(1000),
                TestBuffers.ample(),
                64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        connect(server, 1);
        String request = "GET /quick HTTP/1.1\r\n\r\n";
        int requests = 8 * ReadLimit.MAX_READ_BYTES / request.length();
        callers.getFirst()
                .getOutputStream()
                .write(("GET /slow HTTP/1.1\r\n\r\n" + request.repeat(requests)).getBytes(StandardCharsets.US_ASCII));
        CallerExchange exchange = slow.take();
        ByteBuf body = Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII);
        group.next().submit(() -> respond(exchange, body, false)).sync();
        int answerBytes = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx".length();
        int expected = answerBytes * (requests + 1);
        assertThat(callers.getFirst().getInputStream().readNBytes(expected)).hasLength(expected);
    }

    private static void respond(CallerExchange exchange, ByteBuf body, boolean inParts) {
        if (inParts) {
            exchange.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
            exchange.write(body);
        } else {
            exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), body);
        }
    }

    /** Returns whether a caller sees that its response ended early: before its length or, without one, by a reset. */
    private static boolean isCut(Socket caller, int length, String version) {
        try {
            return caller.getInputStream().readAllBytes().length < length && version.equals("HTTP/1.1");
        } catch (IOException e) {
            return true;
        }
    }

    private static void writeEvents(CallerExchange exchange) {
        exchange.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
        for (int event = 0; event < 1000; event++) {
            exchange.write(Unpooled.copiedBuffer("data: x\n\n", StandardCharsets.US_ASCII));
        }
    }

    private static final class FlushCounter extends ChannelOutboundHandlerAdapter {

        private int count;

        @Override
        public void flush(ChannelHandlerContext context) {
            count++;
            context.flush();
        }
    }
}
