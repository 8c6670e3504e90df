package org.mangoridge.gateway.net;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;

/**
 * Collects a complete response in memory.
 *
 * <p>A response that can't be kept fails before its end; the caller then cancels the call.
 */
public final class BodyCollector implements CallListener {

    private final Consumer<Result<Response, CallFailure>> callback;
    private final AnswerBuffer body;
    private int status;
    private HttpHeaders headers;
    private boolean finished;

    /**
     * A complete response.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    private BodyCollector(
            BufferMemory memory, HostPort peer, int maxBytes, Consumer<Result<Response, CallFailure>> callback) {
        this.callback = callback;
        this.body = AnswerBuffer.open(memory, peer, maxBytes, this::failed);
    }

    /**
     * Returns a collector of one response.
     *
     * @param memory bounds the bodies of all responses
     * @param peer the server that answers
     * @param maxBytes the maximum size of the body
     * @param callback is called exactly once, unless the collector is closed before
     */
    public static BodyCollector of(
            BufferMemory memory, HostPort peer, int maxBytes, Consumer<Result<Response, CallFailure>> callback) {
        return new BodyCollector(memory, peer, maxBytes, callback);
    }

    @Override
    public void head(HttpResponse head) {
        status = head.status().code();
        headers = head.headers();
    }

    @Override
    public void data(ByteBuf data) {
        body.add(data);
    }

    @Override
    public void completed() {
        if (finished || body.isEvicted()) {
            return;
        }
        byte[] bytes = body.bytes();
        close();
        callback.accept(Result.ok(new Response(status, headers, bytes)));
    }

    @Override
    public void failed(CallFailure failure) {
        if (finished) {
            return;
        }
        close();
        callback.accept(Result.err(failure));
    }

    /** Drops what was received, when the call was cancelled; the callback is not called any more. */
    public void close() {
        finished = true;
        body.close();
    }
}
