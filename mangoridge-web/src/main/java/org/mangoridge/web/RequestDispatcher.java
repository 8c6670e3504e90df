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

/** Takes requests from Ratpack to the blocking handler and its answers back. */
final class RequestDispatcher implements Handler {

    private static final Duration SLOWEST_READER = Duration.ofSeconds(10);
    /** Read before the refusal, since a connection closed on unread bytes is reset and the refusal may be lost. */
    static final int READ_PAST_LIMIT_BYTES = 1 << 20;

    private static final byte[] NO_BODY = new byte[0];
    private static final Duration SLOWEST_SENDER = Duration.ofSeconds(20);
    private static final int INTERNAL_ERROR_STATUS = 500;

    /** An answer whose streamed body, if it has one, is being written. */
    private record Outgoing(WebReply reply, ChunkPublisher stream) {}

    private final int maxBodyBytes;
    private final WebHandler handler;
    private final ExecutorService threads;
    private final OpenRequests open = new OpenRequests();

    RequestDispatcher(int maxBodyBytes, WebHandler handler, ExecutorService threads) {
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
        this.threads = threads;
    }

    /** Returns how many requests have come whose answers are not yet sent whole. */
    int openRequests() {
        return open.count();
    }

    @Override
    public void handle(Context ctx) {
        OpenRequests.Ticket ticket = open.begin();
        ctx.onClose(outcome -> ticket.sent());
        ConnectionState connection = watchConnection(ctx);
        connection.onClose(ticket::closed);
        ScheduledFuture<?> slowSender = ctx.getDirectChannelAccess()
                .getChannel()
                .eventLoop()
                .schedule(() -> close(ctx), SLOWEST_SENDER.toMillis(), TimeUnit.MILLISECONDS);
        connection.onClose(() -> slowSender.cancel(false));
        ctx.getRequest()
                .getBody((long) maxBodyBytes + READ_PAST_LIMIT_BYTES, () -> {
                    ticket.handled();
                    refuseBody(ctx, connection);
                })
                .then(body -> {
                    slowSender.cancel(false);
                    if (body.getBuffer().readableBytes() > maxBodyBytes) {
                        ticket.handled();
                        refuseBody(ctx, connection);
                        return;
                    }
                    ticket.started();
                    WebRequest request = request(ctx.getRequest(), body.getBytes(), connection);
                    Promise.<Outgoing>async(down -> start(() -> {
                                try {
                                    answer(ctx, request, down);
                                } finally {
                                    ticket.handled();
                                }
                            }))
                            .then(outgoing -> send(ctx, outgoing));
                });
    }

    /** Runs a handler on a thread of its own, or here once handlers were interrupted for good and refuse at once. */
    private void start(Runnable task) {
        try {
            threads.execute(task);
        } catch (RejectedExecutionException e) {
            task.run();
        }
    }

    private static ConnectionState watchConnection(Context ctx) {
        ConnectionState state = new ConnectionState();
        Channel channel = ctx.getDirectChannelAccess().getChannel();
        ChannelFutureListener listener = future -> state.closed();
        channel.closeFuture().addListener(listener);
        ctx.onClose(outcome -> channel.closeFuture().removeListener(listener));
        return state;
    }

    private void refuseBody(Context ctx, ConnectionState connection) {
        WebRequest head = request(ctx.getRequest(), NO_BODY, connection);
        send(ctx, new Outgoing(handler.rejectOversizedBody(head, maxBodyBytes), null));
    }

    private void answer(Context ctx, WebRequest request, Downstream<? super Outgoing> down) {
        WebReply reply = reply(request);
        if (!(reply instanceof WebReply.Streamed streamed)) {
            give(down, new Outgoing(reply, null));
            return;
        }
        ChunkPublisher stream = new ChunkPublisher(SLOWEST_READER, () -> close(ctx));
        if (!give(down, new Outgoing(reply, stream))) {
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

    /** Hands an answer over; false if the server has stopped, so that nobody takes it. */
    private static boolean give(Downstream<? super Outgoing> down, Outgoing outgoing) {
        try {
            down.success(outgoing);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private WebReply reply(WebRequest request) {
        try {
            return handler.handle(request);
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("path", request.path()));
            return WebReply.json(
                    INTERNAL_ERROR_STATUS, ErrorBody.of("internal_error", "the request met a defect of the system"));
        }
    }

    private static void send(Context ctx, Outgoing outgoing) {
        Response response = ctx.getResponse();
        switch (outgoing.reply()) {
            case WebReply.Buffered whole -> {
                closeIfAsked(ctx, whole.headers());
                writeHead(response, whole.status(), whole.headers());
                response.send(whole.body());
            }
            case WebReply.Streamed streamed -> {
                closeIfAsked(ctx, streamed.headers());
                writeHead(response, streamed.status(), streamed.headers());
                response.sendStream(outgoing.stream());
            }
            case WebReply.Dropped dropped ->
                ctx.getDirectChannelAccess().getChannel().close();
        }
    }

    private static void close(Context ctx) {
        ctx.getDirectChannelAccess().getChannel().close();
    }

    /** Ends the connection after an answer that says so, which the server would else keep open. */
    private static void closeIfAsked(Context ctx, Headers headers) {
        if (headers.value("Connection").filter("close"::equalsIgnoreCase).isPresent()) {
            ctx.onClose(outcome -> close(ctx));
        }
    }

    private static void writeHead(Response response, int status, Headers headers) {
        response.status(status);
        headers.asMap().forEach((name, value) -> response.getHeaders().set(name, value));
    }

    private static WebRequest request(Request request, byte[] body, ConnectionState connection) {
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
