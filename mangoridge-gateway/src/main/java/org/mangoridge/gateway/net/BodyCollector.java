package org.mangoridge.gateway.net;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.Result;

/** Collects a complete response in memory. */
public final class BodyCollector implements CallListener {

    private final int maxBytes;
    private final Consumer<Result<Response, CallFailure>> callback;
    private final ByteBuf body = Unpooled.buffer(1024);
    private int status;
    private HttpHeaders headers;
    private boolean overflow;

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
    public boolean head(HttpResponse head) {
        status = head.status().code();
        headers = head.headers();
        return true;
    }

    @Override
    public void data(ByteBuf data) {
        overflow |= body.readableBytes() + data.readableBytes() > maxBytes;
        if (!overflow) {
            body.writeBytes(data);
        }
    }

    @Override
    public void completed() {
        byte[] bytes = ByteBufUtil.getBytes(body);
        body.release();
        if (overflow) {
            callback.accept(Result.err(new CallFailure(
                    org.mangoridge.core.verdict.AttemptProgress.ANSWER_RECEIVED, false, "response body is too large")));
        } else {
            callback.accept(Result.ok(new Response(status, headers, bytes)));
        }
    }

    @Override
    public void failed(CallFailure failure) {
        body.release();
        callback.accept(Result.err(failure));
    }
}
