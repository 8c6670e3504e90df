package org.mangoridge.gateway.net;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.Result;
import org.mangoridge.core.verdict.AttemptProgress;

/**
 * Collects a complete response in memory.
 *
 * <p>A response that is too large fails before its end; the caller then cancels the call.
 */
public final class BodyCollector implements CallListener {

    private final int maxBytes;
    private final Consumer<Result<Response, CallFailure>> callback;
    private final ByteBuf body = Unpooled.buffer(1024);
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

    private BodyCollector(int maxBytes, Consumer<Result<Response, CallFailure>> callback) {
        this.maxBytes = maxBytes;
        this.callback = callback;
    }

    /** Returns a collector of bodies of at most {@code maxBytes}; {@code callback} is called exactly once. */
    public static BodyCollector of(int maxBytes, Consumer<Result<Response, CallFailure>> callback) {
        return new BodyCollector(maxBytes, callback);
    }

    @Override
    public void head(HttpResponse head) {
        status = head.status().code();
        headers = head.headers();
    }

    @Override
    public void data(ByteBuf data) {
        if (finished) {
            return;
        }
        if (body.readableBytes() + data.readableBytes() > maxBytes) {
            failed(new CallFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, false, "response body is too large"));
        } else {
            body.writeBytes(data);
        }
    }

    @Override
    public void completed() {
        if (finished) {
            return;
        }
        finished = true;
        byte[] bytes = ByteBufUtil.getBytes(body);
        body.release();
        callback.accept(Result.ok(new Response(status, headers, bytes)));
    }

    @Override
    public void failed(CallFailure failure) {
        if (finished) {
            return;
        }
        finished = true;
        body.release();
        callback.accept(Result.err(failure));
    }
}
