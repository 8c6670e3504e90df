package org.mangoridge.gateway.exchange;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamRequest;

/**
 * Handles the response to a call that releases a reservation or KV cache.
 *
 * <p>A failure is only logged, because the server releases the memory by itself when its retention time ends.
 */
final class ReleaseListener implements CallListener {

    private final GatewayContext context;
    private final ServerEntry server;
    private final String purpose;
    private UpstreamCall call;
    private ScheduledFuture<?> timeoutTimer;

    private ReleaseListener(GatewayContext context, ServerEntry server, String purpose) {
        this.context = context;
        this.server = server;
        this.purpose = purpose;
    }

    /**
     * Asks a server to release something, unless it is at its limit; then it does so by itself later.
     *
     * @param path the path that names what to release
     * @param retention how long the server retains it otherwise; there is nothing to wait for after that
     */
    static void release(GatewayContext context, ServerEntry server, String path, String purpose, Duration retention) {
        UpstreamRequest request = UpstreamRequest.withoutBody(
                server.address(), HttpMethod.DELETE, path, new DefaultHttpHeaders(), EngineTimeouts.CONNECT_TIMEOUT);
        context.calls()
                .tryAcquire(server, CallKind.RELEASE)
                .ifPresent(permit -> new ReleaseListener(context, server, purpose).start(permit, request, retention));
    }

    private void start(SendPermit permit, UpstreamRequest request, Duration retention) {
        timeoutTimer = context.schedule(retention, this::onTimeout);
        call = context.calls().call(permit, request, this);
    }

    private void onTimeout() {
        call.cancel();
        failed(new CallFailure(call.progress(), true, "no complete answer within the retention time"));
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
        timeoutTimer.cancel(false);
        context.metrics().count("releases.done");
    }

    @Override
    public void failed(CallFailure failure) {
        timeoutTimer.cancel(false);
        context.log().log(
                LogEvent.CANCEL_UNACKNOWLEDGED,
                Field.of("server", server.id()),
                Field.of("purpose", purpose),
                Field.of("detail", failure.detail()));
    }
}
