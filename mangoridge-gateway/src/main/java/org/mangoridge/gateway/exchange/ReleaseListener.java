package org.mangoridge.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamRequest;

/**
 * Handles the response to a call that releases a reservation or KV cache.
 *
 * <p>A failure is only logged, because the server releases the memory by itself when its retention time ends.
 */
record ReleaseListener(GatewayContext context, ServerEntry server, String purpose) implements CallListener {

    /**
     * Asks a server to release something, unless it is at its limit; then it does so by itself later.
     *
     * @param path the path that names what to release
     */
    static void release(GatewayContext context, ServerEntry server, String path, String purpose) {
        UpstreamRequest request = UpstreamRequest.withoutBody(
                server.address(), HttpMethod.DELETE, path, new DefaultHttpHeaders(), EngineTimeouts.CONNECT_TIMEOUT);
        context.calls().tryAcquire(server, CallKind.RELEASE).ifPresent(permit -> context.calls()
                .call(permit, request, new ReleaseListener(context, server, purpose)));
    }

    @Override
    public void head(HttpResponse head) {
        // The status is not needed.
    }

    @Override
    public void data(ByteBuf data) {
        // The body is not needed.
    }

    @Override
    public void completed() {
        context.metrics().count("releases.done");
    }

    @Override
    public void failed(CallFailure failure) {
        context.log().log(
                LogEvent.CANCEL_UNACKNOWLEDGED,
                Field.of("server", server.id()),
                Field.of("purpose", purpose),
                Field.of("detail", failure.detail()));
    }
}
