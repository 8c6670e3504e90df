package org.mangoridge.gateway.net;

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

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.SystemClock;

import static com.google.common.truth.Truth.assertThat;

class JsonClientTest {

    private static final HostPort STORE = new HostPort("127.0.0.1", 1);
    private static final int LIMIT_BYTES = 1 << 20;

    private final EventLoop loop = new DefaultEventLoop();
    private final List<CallListener> listeners = new ArrayList<>();
    private final BufferMemory memory = BufferMemory.of(LIMIT_BYTES, loop, (peer, bytes, peerBytes, usedBytes) -> {});
    private final JsonClient client = JsonClient.create(
            loop,
            (request, listener) -> {
                listeners.add(listener);
                return new UpstreamCall(listener);
            },
            memory);

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
    }

    /** Begins a call and the answer to it. */
    private CompletableFuture<Result<JsonClient.Answer, CallFailure>> begin(Duration timeout, int bytes) {
        CompletableFuture<Result<JsonClient.Answer, CallFailure>> answer = new CompletableFuture<>();
        loop.execute(() -> {
            client.get(STORE, "/objects/x", JsonClient.noHeaders(), timeout, answer::complete);
            CallListener listener = listeners.getLast();
            listener.head(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
            listener.data(Unpooled.copiedBuffer("x".repeat(bytes), StandardCharsets.US_ASCII));
        });
        return answer;
    }

    private long usedBytes() throws Exception {
        return loop.submit(memory::usedBytes).get();
    }

    /** The answer of a store that stopped within it was held for good, once its call had run out of time. */
    @Test
    void aCallThatTimesOutGivesItsMemoryBack() throws Exception {
        assertThat(begin(Duration.ofMillis(1), 1000).get(20, TimeUnit.SECONDS).isOk())
                .isFalse();
        assertThat(usedBytes()).isEqualTo(0);
    }

    /** Answers of a faulty store node, each within its bound, filled the heap in the sum. */
    @Test
    void answersThatDoNotEndAreBoundedInTheSum() throws Exception {
        CompletableFuture<Result<JsonClient.Answer, CallFailure>> first = begin(Duration.ofMinutes(1), 700_000);
        CompletableFuture<Result<JsonClient.Answer, CallFailure>> second = begin(Duration.ofMinutes(1), 600_000);
        assertThat(first.get(20, TimeUnit.SECONDS).error().detail()).contains("buffers are full");
        assertThat(usedBytes()).isAtMost(LIMIT_BYTES);
        assertThat(second.isDone()).isFalse();
    }

    // Guards against an answer of the store that takes effect though its head is none.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\n",
                "HTTP/1.1 +200 X\r\n",
                "HTTP/1.1 200 X\r\nContent-Length odd: 2\r\n",
                "HTTP/1.1 200 X\r\nOdd\u0001name: 1\r\n"
            })
    void anAnswerWithAnInvalidHeadIsAFailure(String head) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            EventLoop sockets = group.next();
            UpstreamPool pool = UpstreamPool.create(
                    sockets, SystemClock.instance(), any -> Optional.empty(), new MetricRegistry(), memory);
            HostPort address = new HostPort("127.0.0.1", listening.getLocalPort());
            CompletableFuture<Result<JsonClient.Answer, CallFailure>> answer = new CompletableFuture<>();
            sockets.execute(() -> JsonClient.create(sockets, pool::call, TestBuffers.ample())
                    .get(address, "/objects/x", JsonClient.noHeaders(), Duration.ofSeconds(20), answer::complete));
            try (Socket socket = listening.accept()) {
                socket.getOutputStream()
                        .write((head + "Content-Length: 4\r\n\r\nnull").getBytes(StandardCharsets.US_ASCII));
                assertThat(answer.get(20, TimeUnit.SECONDS).error().detail()).contains("head is not valid HTTP");
            }
        } finally {
            group.shutdownGracefully();
        }
    }
}
