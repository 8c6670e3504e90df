package org.mangoridge.gateway.exchange;

import java.util.Objects;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.mangoridge.core.event.Field;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.request.StreamPosition;

/**
 * The event stream that one caller receives, whichever servers send its events: it begins once, and then is finished or cut;
 * used on the event loop.
 */
final class StreamResponse {

    private final GatewayContext context;
    private final RequestScope scope;
    private final StreamPosition position;
    /** The head of the first server's answer, with which the response began; null before. */
    private HttpResponse firstHead;

    private int eventsDelivered;

    StreamResponse(GatewayContext context, RequestScope scope) {
        this.context = context;
        this.scope = scope;
        this.position = StreamPosition.after(scope.caller().resumeAfter());
    }

    StreamPosition position() {
        return position;
    }

    boolean started() {
        return firstHead != null;
    }

    /** Returns whether an answer can go on with the response: it is of the same kind as the one that began it. */
    boolean isContinuedBy(HttpResponse head) {
        return head.status().equals(firstHead.status())
                && Objects.equals(HttpUtil.getMimeType(head), HttpUtil.getMimeType(firstHead));
    }

    /** Forwards the status and headers of the first server; those of a server that resumes the stream are dropped. */
    void start(HttpResponse head) {
        if (!started()) {
            firstHead = head;
            scope.recordFirstEvent();
            scope.exchange()
                    .startResponse(
                            HttpResponseStatus.valueOf(head.status().code()),
                            ForwardHeaders.ofResponse(head.headers(), context.dialect()));
        }
    }

    /** Forwards an event, or blank lines and comments between events. */
    void forward(EventBuffer.Event event) {
        if (!event.separator()) {
            position.recordDelivered(event.id());
            eventsDelivered++;
        }
        scope.exchange().write(Unpooled.wrappedBuffer(event.bytes()));
    }

    /** Completes the response after the last event. */
    void finish(ServerEntry server, int status) {
        scope.exchange().finish();
        scope.logAnswered(
                server.id(),
                status,
                Field.of("events", eventsDelivered),
                Field.of("prompt_tokens", scope.caller().tokens().prompt()),
                Field.of("max_output", scope.caller().tokens().maxOutput()));
    }

    /** Closes the connection, so that the caller sees that the stream is not complete. */
    void cut(String cause) {
        scope.logCut(cause, position.lastId());
        context.metrics().count("streams.cut");
        scope.exchange().abort();
    }
}
