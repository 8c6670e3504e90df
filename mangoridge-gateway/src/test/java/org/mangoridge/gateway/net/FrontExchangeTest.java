package org.mangoridge.gateway.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.google.common.collect.Range;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.dispatch.config.CallerLimits;

import static com.google.common.truth.Truth.assertThat;

class FrontExchangeTest {

    private static final String REQUEST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

    /** The stack size of the threads of an instance. */
    private static final int SMALL_STACK_BYTES = 256 << 10;

    /** The least memory that a decoded header takes: an entry of a map, two strings and two arrays. */
    private static final long HEADER_ENTRY_BYTES = 144;

    private final MessageCounter messages = new MessageCounter();
    private final BodyMemory memory = BodyMemory.of(1000);
    private final BufferMemory buffers = TestBuffers.ample();
    private boolean draining;

    private final FrontState state = new FrontState() {
        @Override
        public CallerLimits limits() {
            return CallerLimits.DEFAULT;
        }

        @Override
        public boolean draining() {
            return draining;
        }
    };

    private EmbeddedChannel request(RequestHandler handler) {
        StrictRequestDecoder decoder = new StrictRequestDecoder(new io.netty.handler.codec.http.HttpDecoderConfig());
        EmbeddedChannel channel = new EmbeddedChannel(
                new HttpResponseEncoder(),
                decoder,
                messages,
                new FrontConnection(VirtualClock.create(), state, handler, memory, buffers, decoder));
        channel.writeInbound(bytes(REQUEST));
        return channel;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static String sent(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return text.toString();
    }

    private static void respond(CallerExchange exchange) {
        exchange.respond(HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders(), bytes("refused"));
    }

    private static void begin(CallerExchange exchange) {
        exchange.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
    }

    /** A second response within one that had begun was dropped by the encoder, and the connection stayed open. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSecondResponseClosesTheConnectionOfOneThatHasBegun(boolean inParts) {
        EmbeddedChannel channel = request(exchange -> {
            begin(exchange);
            exchange.write(bytes("event"));
            if (inParts) {
                begin(exchange);
            } else {
                respond(exchange);
            }
            exchange.finish();
        });
        String sent = sent(channel);
        assertThat(channel.isOpen()).isFalse();
        assertThat(sent).startsWith("HTTP/1.1 200 OK");
        assertThat(sent).endsWith("\r\nevent\r\n");
    }

    /** Parts of a body without a head are no response. */
    @Test
    void aBodyWithoutAHeadClosesTheConnection() {
        for (Consumer<CallerExchange> call :
                List.<Consumer<CallerExchange>>of(each -> each.write(bytes("x")), CallerExchange::finish)) {
            EmbeddedChannel channel = request(call::accept);
            assertThat(channel.isOpen()).isFalse();
            assertThat(sent(channel)).isEmpty();
        }
    }

    /** A failed write was not looked at: the response ended as if it were whole, without the part that failed. */
    @Test
    void aPartThatCannotBeWrittenClosesTheConnection() {
        CallerExchange[] exchange = new CallerExchange[1];
        EmbeddedChannel channel = request(each -> exchange[0] = each);
        begin(exchange[0]);
        boolean[] disconnected = new boolean[1];
        exchange[0].onDisconnect(() -> disconnected[0] = true);
        channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                io.netty.util.ReferenceCountUtil.release(message);
                promise.setFailure(new IllegalStateException("not written"));
            }
        });
        exchange[0].write(bytes("event"));
        channel.runPendingTasks();
        assertThat(channel.isOpen()).isFalse();
        assertThat(disconnected[0]).isTrue();
    }

    /** Requests behind the one that was answered during a shutdown had been read, and got neither answer nor refusal. */
    @Test
    void pipelinedRequestsAreAnsweredDuringAShutdown() {
        List<CallerExchange> exchanges = new ArrayList<>();
        EmbeddedChannel channel = request(exchanges::add);
        channel.writeInbound(bytes(REQUEST + REQUEST));
        draining = true;
        for (int i = 0; i < 3; i++) {
            assertThat(exchanges).hasSize(i + 1);
            assertThat(channel.isOpen()).isTrue();
            respond(exchanges.get(i));
        }
        assertThat(channel.isOpen()).isFalse();
        String sent = sent(channel);
        assertThat(sent.split("refused", -1)).hasLength(4);
        assertThat(sent.split("connection: close", -1)).hasLength(2);
    }

    /** Decoded requests behind a slow one took up to 512 KB of a connection, many times their bytes, charged to nothing. */
    @Test
    void pipelinedRequestsWaitAsBytesThatAreCharged() {
        List<CallerExchange> exchanges = new ArrayList<>();
        EmbeddedChannel channel = request(exchanges::add);
        int decoded = messages.count;
        String small = "GET / HTTP/1.1\r\n\r\n";
        int requests = ReadLimit.MAX_READ_BYTES / small.length() + 1;
        channel.writeInbound(bytes(small.repeat(requests)));
        assertThat(messages.count).isEqualTo(decoded);
        assertThat(buffers.usedBytes())
                .isIn(Range.closed((long) ReadLimit.MAX_READ_BYTES, 2L * ReadLimit.MAX_READ_BYTES));
        assertThat(channel.config().isAutoRead()).isFalse();
        respond(exchanges.get(0));
        assertThat(channel.config().isAutoRead()).isTrue();
        for (int i = 1; i <= requests; i++) {
            respond(exchanges.get(i));
        }
        assertThat(exchanges).hasSize(requests + 1);
        assertThat(buffers.usedBytes()).isEqualTo(0);
    }

    /** Heads took up to 75 times their bytes, charged to nothing, while they were read and while their requests lasted. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\r\n", "Content-Length: 9\r\n\r\nx"})
    void headsAreCharged(String end) {
        List<CallerExchange> exchanges = new ArrayList<>();
        EmbeddedChannel channel = request(exchanges::add);
        respond(exchanges.getFirst());
        assertThat(buffers.usedBytes()).isEqualTo(0);
        int headers = 2000;
        String head = "GET /" + "x".repeat(1000) + " HTTP/1.1\r\n" + "a:\r\n".repeat(headers) + end;
        channel.writeInbound(bytes(head));
        assertThat(buffers.usedBytes()).isAtLeast(headers * HEADER_ENTRY_BYTES + 1000);
        channel.close();
        assertThat(buffers.usedBytes()).isEqualTo(0);
    }

    /** Only the bytes of a body were reserved, half of what its buffer took. */
    @Test
    void theCapacityOfABodyIsReserved() {
        List<CallerExchange> exchanges = new ArrayList<>();
        EmbeddedChannel channel = request(exchanges::add);
        respond(exchanges.getFirst());
        channel.writeInbound(bytes("POST /x HTTP/1.1\r\nContent-Length: 257\r\n\r\n"));
        for (int i = 0; i < 257; i++) {
            channel.writeInbound(bytes("x"));
        }
        int capacity = exchanges.getLast().request().body().capacity();
        assertThat(capacity).isEqualTo(512);
        assertThat(memory.usedBytes()).isEqualTo(capacity);
        respond(exchanges.getLast());
        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    /** A line without end was charged to nothing. */
    @Test
    void aPartOfALineIsCharged() {
        EmbeddedChannel channel = request(FrontExchangeTest::respond);
        String line = "GET /" + "x".repeat(3000);
        channel.writeInbound(bytes(line));
        assertThat(buffers.usedBytes()).isAtLeast((long) line.length());
        channel.writeInbound(bytes(" HTTP/1.1\r\n\r\n"));
        assertThat(buffers.usedBytes()).isEqualTo(0);
    }

    @ChannelHandler.Sharable
    private static final class MessageCounter extends ChannelInboundHandlerAdapter {

        private int count;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            count++;
            context.fireChannelRead(message);
        }
    }

    /** Each of the requests behind a slow one was begun within the response before it, until the stack overflowed. */
    @Test
    void manyPipelinedRequestsThatAreAnsweredAtOnceNeedLittleStack() throws InterruptedException {
        int requests = 5000;
        List<CallerExchange> slow = new ArrayList<>();
        StringBuilder sent = new StringBuilder();
        Thread caller = new Thread(
                null,
                () -> {
                    EmbeddedChannel channel = request(exchange -> {
                        if (slow.isEmpty()) {
                            slow.add(exchange);
                        } else {
                            respond(exchange);
                        }
                    });
                    channel.writeInbound(bytes(REQUEST.repeat(requests)));
                    respond(slow.getFirst());
                    sent.append(sent(channel));
                },
                "caller",
                SMALL_STACK_BYTES);
        caller.start();
        caller.join();
        assertThat(sent.toString().split("refused", -1)).hasLength(requests + 2);
    }
}
