package org.mangoridge.web;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.http.Headers;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;
import ratpack.http.Response;

/** Passes requests from Ratpack to the blocking handler, and its replies back to Ratpack. */
final class RequestDispatcher implements Handler {

    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);
    /**
     * The number of bytes beyond the size limit that are read before a body is refused.
     *
     * <p>Closing a connection with unread bytes resets it, and the client may lose the refusal.
     */
    static final int MAX_EXCESS_BODY_BYTES = 1 << 20;

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final Duration BODY_READ_TIMEOUT = Duration.ofSeconds(20);
    private static final int INTERNAL_ERROR_STATUS = 500;

    /** A reply and the publisher of its body, which is null unless the reply is streamed. */
    private record PendingReply(WebReply reply, ChunkPublisher stream) {}

    private final int maxBodyBytes;
    private final WebHandler handler;
    private final ExecutorService handlerThreads;
    private final OpenRequests open = new OpenRequests();

    RequestDispatcher(int maxBodyBytes, WebHandler handler, ExecutorService handlerThreads) {
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
        this.handlerThreads = handlerThreads;
    }

    /** Returns the number of requests whose handler is still running or whose reply is not yet fully sent. */
    int openRequests() {
        return open.count();
    }

    @Override
    public void handle(Context ctx) {
        OpenRequests.OpenRequest openRequest = open.begin();
        ctx.onClose(outcome -> openRequest.markSent());
        ConnectionState connection = watchConnection(ctx);
        connection.onClose(openRequest::markClosed);
        ScheduledFuture<?> bodyReadTimeout = ctx.getDirectChannelAccess()
                .getChannel()
                .eventLoop()
                .schedule(() -> close(ctx), BODY_READ_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        connection.onClose(() -> bodyReadTimeout.cancel(false));
        ctx.getRequest()
                .getBody((long) maxBodyBytes + MAX_EXCESS_BODY_BYTES, () -> {
                    openRequest.markHandled();
                    rejectOversizedBody(ctx, connection);
                })
                .then(body -> {
                    bodyReadTimeout.cancel(false);
                    if (body.getBuffer().readableBytes() > maxBodyBytes) {
                        openRequest.markHandled();
                        rejectOversizedBody(ctx, connection);
                        return;
                    }
                    openRequest.markStarted();
                    WebRequest request = toWebRequest(ctx.getRequest(), body.getBytes(), connection);
                    Promise.<PendingReply>async(down -> runHandler(() -> {
                                try {
                                    handleAndDeliver(ctx, request, down);
                                } finally {
                                    openRequest.markHandled();
                                }
                            }))
                            .then(pending -> send(ctx, pending));
                });
    }

    /**
     * Runs {@code task} on a thread of its own, or on the current thread after the handlers were interrupted for good.
     *
     * <p>From then on handlers refuse requests without blocking.
     */
    private void runHandler(Runnable task) {
        try {
            handlerThreads.execute(task);
        } catch (RejectedExecutionException e) {
            task.run();
        }
    }

    private static ConnectionState watchConnection(Context ctx) {
        ConnectionState state = new ConnectionState();
        Channel channel = ctx.getDirectChannelAccess().getChannel();
        ChannelFutureListener listener = future -> state.markClosed();
        channel.closeFuture().addListener(listener);
        ctx.onClose(outcome -> channel.closeFuture().removeListener(listener));
        return state;
    }

    private void rejectOversizedBody(Context ctx, ConnectionState connection) {
        WebRequest head = toWebRequest(ctx.getRequest(), EMPTY_BODY, connection);
        send(ctx, new PendingReply(handler.rejectOversizedBody(head, maxBodyBytes), null));
    }

    private void handleAndDeliver(Context ctx, WebRequest request, Downstream<? super PendingReply> down) {
        WebReply reply = callHandler(request);
        if (!(reply instanceof WebReply.Streamed streamed)) {
            deliver(down, new PendingReply(reply, null));
            return;
        }
        ChunkPublisher stream = new ChunkPublisher(WRITE_TIMEOUT, () -> close(ctx));
        if (!deliver(down, new PendingReply(reply, stream))) {
            stream.abort();
        }
        try {
            streamed.body().writeTo(stream);
            stream.complete();
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("path", request.path()));
            stream.abort();
        }
    }

    /** Passes a reply to Ratpack; returns false if the server has stopped and cannot send it. */
    private static boolean deliver(Downstream<? super PendingReply> down, PendingReply pending) {
        try {
            down.success(pending);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private WebReply callHandler(WebRequest request) {
        try {
            return handler.handle(request);
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("path", request.path()));
            return WebReply.json(
                    INTERNAL_ERROR_STATUS,
                    ErrorBody.of("internal_error", "the request failed because of an internal error"));
        }
    }

    private static void send(Context ctx, PendingReply pending) {
        Response response = ctx.getResponse();
        switch (pending.reply()) {
            case WebReply.Buffered buffered -> {
                closeAfterReplyIfRequested(ctx, buffered.headers());
                writeStatusAndHeaders(response, buffered.status(), buffered.headers());
                response.send(buffered.body());
            }
            case WebReply.Streamed streamed -> {
                closeAfterReplyIfRequested(ctx, streamed.headers());
                writeStatusAndHeaders(response, streamed.status(), streamed.headers());
                response.sendStream(pending.stream());
            }
            case WebReply.Dropped dropped ->
                ctx.getDirectChannelAccess().getChannel().close();
        }
    }

    private static void close(Context ctx) {
        ctx.getDirectChannelAccess().getChannel().close();
    }

    /** Closes the connection after a reply with {@code Connection: close}, since Ratpack would keep it open. */
    private static void closeAfterReplyIfRequested(Context ctx, Headers headers) {
        if (headers.value("Connection").filter("close"::equalsIgnoreCase).isPresent()) {
            ctx.onClose(outcome -> close(ctx));
        }
    }

    private static void writeStatusAndHeaders(Response response, int status, Headers headers) {
        response.status(status);
        headers.asMap().forEach((name, value) -> response.getHeaders().set(name, value));
    }

    private static WebRequest toWebRequest(Request request, byte[] body, ConnectionState connection) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : request.getHeaders().getNames()) {
            headers.put(name, request.getHeaders().get(name));
        }
        return new WebRequest(
                request.getMethod().getName(),
                "/" + request.getPath(),
                Map.copyOf(request.getQueryParams()),
                Headers.copyOf(headers),
                body,
                connection);
    }
}
