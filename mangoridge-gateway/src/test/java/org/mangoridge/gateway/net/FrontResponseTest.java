package org.mangoridge.gateway.net;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.dispatch.config.CallerLimits;

import static com.google.common.truth.Truth.assertThat;

/** Responses that are begun, and then aborted or followed by another one. */
@Timeout(30)
class FrontResponseTest {

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

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    /** Returns all that a caller receives until its connection ends; appends how it ends if not in good order. */
    private String receive(String version, String headerLine, RequestHandler handler) throws Exception {
        FrontServer server = FrontServer.create(
                group.next(), VirtualClock.create(), SERVING, handler, BodyMemory.of(1000), TestBuffers.ample(), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        StringBuilder received = new StringBuilder();
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.setSoTimeout(3000);
            socket.getOutputStream()
                    .write(("GET / " + version + "\r\n" + headerLine + "\r\n").getBytes(StandardCharsets.UTF_8));
            for (int next = socket.getInputStream().read();
                    next >= 0;
                    next = socket.getInputStream().read()) {
                received.append((char) next);
            }
        } catch (SocketTimeoutException e) {
            received.append("STILL OPEN");
        } catch (IOException e) {
            received.append("RESET");
        }
        return received.toString();
    }

    private static void begin(CallerExchange exchange) {
        exchange.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
        exchange.write(bytes("begun"));
    }

    // Guards against an error's head and text in the middle of a stream, which then ends as if it were complete.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSecondResponseBreaksTheFirstOneOff(boolean whole) throws Exception {
        String received = receive("HTTP/1.1", "Host: h\r\n", exchange -> {
            begin(exchange);
            if (whole) {
                exchange.respond(HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders(), bytes("error"));
            } else {
                exchange.startResponse(HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders());
                exchange.finish();
            }
        });
        assertThat(received).contains("begun");
        assertThat(received).doesNotContain("STILL OPEN");
        assertThat(received).doesNotContain("502");
        assertThat(received).doesNotContain("error");
        assertThat(received).doesNotContain("0\r\n\r\n");
    }

    // Guards against chunk sizes in the body that a caller of HTTP/1.0, which knows no chunks, reads.
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: keep-alive\r\n"})
    void aCallerOfHttp10GetsNoChunks(String headerLine) throws Exception {
        String received = receive("HTTP/1.0", headerLine, exchange -> {
            begin(exchange);
            exchange.finish();
        });
        assertThat(received).endsWith("\r\n\r\nbegun");
        assertThat(received).doesNotContain("chunked");
    }

    // Guards against a response that is broken off but looks complete to a caller of HTTP/1.0.
    @Test
    void aCallerOfHttp10SeesThatAResponseIsBrokenOff() throws Exception {
        String received = receive("HTTP/1.0", "", exchange -> {
            begin(exchange);
            exchange.abort();
        });
        assertThat(received).endsWith("RESET");
    }
}
