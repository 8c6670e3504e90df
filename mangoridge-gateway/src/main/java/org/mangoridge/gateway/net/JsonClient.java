package org.mangoridge.gateway.net;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.verdict.AttemptProgress;

/** Makes HTTP calls with JSON bodies; confined to one event loop. */
public final class JsonClient {

    /** Longest time to connect; a call with a short time limit spends at most half of it on that. */
    private static final Duration MAX_CONNECT_TIMEOUT = Duration.ofMillis(1000);

    /** Idle connections are reused: a call that fails on a stale one can be repeated, or its effect read back. */
    private static final Duration MAX_IDLE_TIME = Duration.ofHours(1);

    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private final EventLoop loop;
    private final RequestSender sender;
    private final BufferMemory buffers;
    private final ObjectMapper json;

    /**
     * The answer to a call.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param content the body as received
     */
    public record Answer(int status, HttpHeaders headers, RawJson content) {

        /** Returns the parsed body; a missing node if it is empty, malformed or beyond the limits of {@link RawJson}. */
        public JsonNode body() {
            return content.parse();
        }
    }

    private JsonClient(EventLoop loop, RequestSender sender, BufferMemory buffers, ObjectMapper json) {
        this.loop = loop;
        this.sender = sender;
        this.buffers = buffers;
        this.json = json;
    }

    /** Returns a client that makes its calls by {@code sender} and keeps the answers in {@code buffers}. */
    public static JsonClient create(EventLoop loop, RequestSender sender, BufferMemory buffers) {
        return new JsonClient(loop, sender, buffers, new ObjectMapper());
    }

    /** Returns a client like this one that makes its calls by another sender. */
    public JsonClient withSender(RequestSender other) {
        return new JsonClient(loop, other, buffers, json);
    }

    /** Returns the mapper for bodies. */
    public ObjectMapper json() {
        return json;
    }

    /** Makes a GET call. */
    public void get(
            HostPort address,
            String target,
            HttpHeaders extra,
            Duration timeout,
            Consumer<Result<Answer, CallFailure>> answer) {
        call(address, HttpMethod.GET, target, extra, Unpooled.EMPTY_BUFFER, timeout, answer);
    }

    /** Makes a call with a JSON body. */
    public void send(
            HostPort address,
            HttpMethod method,
            String target,
            HttpHeaders extra,
            JsonNode body,
            Duration timeout,
            Consumer<Result<Answer, CallFailure>> answer) {
        try {
            extra.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ByteBuf bytes = Unpooled.wrappedBuffer(json.writeValueAsBytes(body));
            call(address, method, target, extra, bytes, timeout, answer);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the request body can't be serialized", e);
        }
    }

    /** Returns headers to which those of a call can be added. */
    public static HttpHeaders noHeaders() {
        return new DefaultHttpHeaders();
    }

    private void call(
            HostPort address,
            HttpMethod method,
            String target,
            HttpHeaders headers,
            ByteBuf body,
            Duration timeout,
            Consumer<Result<Answer, CallFailure>> answer) {
        headers.set(HttpHeaderNames.HOST, address.toString());
        Duration half = timeout.dividedBy(2);
        Duration connectTimeout = half.compareTo(MAX_CONNECT_TIMEOUT) < 0 ? half : MAX_CONNECT_TIMEOUT;
        UpstreamRequest request = new UpstreamRequest(
                Optional.empty(), address, method, target, headers, body, MAX_IDLE_TIME, connectTimeout);
        UpstreamCall[] call = new UpstreamCall[1];
        BodyCollector[] collector = new BodyCollector[1];
        ScheduledFuture<?> timer = loop.schedule(
                () -> {
                    AttemptProgress progress = call[0].progress();
                    call[0].cancel();
                    collector[0].close();
                    answer.accept(Result.err(
                            new CallFailure(progress, true, "no answer within " + timeout.toMillis() + " ms")));
                },
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
        collector[0] = BodyCollector.of(buffers, address, MAX_ANSWER_BYTES, result -> {
            if (timer.cancel(false)) {
                if (!result.isOk() && call[0] != null) {
                    call[0].cancel();
                }
                answer.accept(result.map(
                        response -> new Answer(response.status(), response.headers(), RawJson.of(response.body()))));
            }
        });
        call[0] = sender.call(request, collector[0]);
    }
}
