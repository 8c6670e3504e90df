package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.request.ServerReply;
import org.mangoridge.gateway.net.AnswerBuffer;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamRequest;

/**
 * Reserves capacity for a request at a decode server before its prefill starts.
 *
 * <p>Load reports of peers are delayed, so two instances can choose the last free capacity of a server at the same
 * time. Only the server can arbitrate, and a wasted prefill costs more than this call.
 */
final class ReservationStep implements CallListener {

    /** Margin of the reservation time over {@link #RESERVATION_TIME_FACTOR} times the expected time to first token. */
    private static final Duration RESERVATION_TIME_MARGIN = Duration.ofMillis(400);

    private static final int RESERVATION_TIME_FACTOR = 2;
    /** Timeout of the call; servers respond within a few milliseconds, because a reservation needs no computation. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(300);
    /** How long a server without capacity is not asked again; streams of a busy server end about that often. */
    private static final Duration FULL_SERVER_BACKOFF = Duration.ofMillis(100);

    private static final int MAX_RESPONSE_BYTES = 4096;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final GatewayContext context;
    private final ModelExchange exchange;
    private final ServerEntry server;
    private final Duration duration;
    private final AnswerBuffer body;
    private UpstreamCall call;
    private ScheduledFuture<?> timeoutTimer;
    private ServerReply reply;
    private boolean pending = true;
    private Optional<String> reservation = Optional.empty();
    private Duration reservedUntil = Duration.ZERO;

    ReservationStep(GatewayContext context, ModelExchange exchange, ServerEntry server, Duration firstToken) {
        this.context = context;
        this.exchange = exchange;
        this.server = server;
        Duration requested = firstToken.multipliedBy(RESERVATION_TIME_FACTOR).plus(RESERVATION_TIME_MARGIN);
        Duration max = exchange.spec().reservationTtl();
        this.duration = requested.compareTo(max) <= 0 ? requested : max;
        this.body = AnswerBuffer.open(
                context.buffers(),
                server.address(),
                MAX_RESPONSE_BYTES,
                exchange.scope().guard().guarded(this::bodyLost));
    }

    void start() {
        HttpHeaders headers = new DefaultHttpHeaders();
        int tokens =
                exchange.scope().caller().tokens().kvTokens(0, exchange.spec().growthPerLoadUpdate());
        byte[] requestBody = context.dialect().writeReservationRequest(headers, server.id(), tokens, duration);
        UpstreamRequest request = new UpstreamRequest(
                Optional.empty(),
                server.address(),
                HttpMethod.POST,
                context.dialect().reservationPath(),
                headers,
                Unpooled.wrappedBuffer(requestBody),
                EngineTimeouts.MAX_IDLE_FOR_REUSE,
                EngineTimeouts.CONNECT_TIMEOUT);
        timeoutTimer = exchange.scope().guard().schedule(RESPONSE_TIMEOUT, this::onTimeout);
        reservedUntil = context.now().plus(duration);
        call = context.calls().call(context.calls().acquire(server, CallKind.RESERVATION), request, this);
    }

    /** Hands over the id of the reservation to the decode attempt; empty if there is none or it has expired. */
    Optional<String> use() {
        Optional<String> used = context.now().compareTo(reservedUntil) < 0 ? reservation : Optional.empty();
        reservation = Optional.empty();
        return used;
    }

    /** Releases the reservation, or cancels the call that requests it. */
    void abandon() {
        if (pending) {
            finishCall();
            call.cancel();
        } else if (reservation.isPresent()) {
            String path = context.dialect().reservationReleasePath(reservation.get());
            reservation = Optional.empty();
            ReleaseListener.release(context, server, path, "release reservation", duration);
        }
    }

    private void onTimeout() {
        if (pending) {
            call.cancel();
            failed(new CallFailure(call.progress(), true, "reservation request timed out"));
        }
    }

    private void finishCall() {
        pending = false;
        timeoutTimer.cancel(false);
        body.close();
    }

    @Override
    public void foreignAnswerDropped() {
        exchange.scope().log(LogEvent.STALE_ANSWER_DROPPED, Field.of("server", server.id()));
    }

    @Override
    public void head(HttpResponse head) {
        reply = context.dialect().readReply(head);
    }

    @Override
    public void data(ByteBuf data) {
        body.add(data);
    }

    private void bodyLost(CallFailure failure) {
        call.cancel();
        failed(failure);
    }

    @Override
    public void completed() {
        if (!pending || body.isEvicted()) {
            return;
        }
        byte[] responseBody = body.bytes();
        finishCall();
        context.serverHealth().recordReachable(server);
        if (reply.isFromOtherServer(server.id())) {
            context.directory().drop(server.id());
            onRejection("the address belongs to another server now");
        } else if (reply.status() == UNAVAILABLE) {
            context.loads().markFull(server.id(), context.now().plus(FULL_SERVER_BACKOFF));
            exchange.turn().recordRejection();
            onRejection("the server has no capacity");
        } else {
            reservation = reply.status() == OK ? context.dialect().readReservation(responseBody) : Optional.empty();
            exchange.turn().recordGrant();
            exchange.reservationAccepted();
        }
    }

    private void onRejection(String detail) {
        log(detail);
        context.metrics().count("room.refused");
        exchange.reservationRejected();
    }

    private void log(String detail) {
        exchange.scope()
                .log(
                        LogEvent.ROOM_REFUSED,
                        Field.of("server", server.id()),
                        Field.of("detail", detail),
                        Field.of("server_kv", context.loads().total(server.id()).kvTokens()));
    }

    @Override
    public void broken(RuntimeException error) {
        exchange.scope().guard().fail(error);
    }

    @Override
    public void failed(CallFailure failure) {
        if (pending) {
            finishCall();
            context.serverHealth().recordNoAnswer(server.id(), context.now());
            if (failure.isUnreachable()) {
                context.serverHealth().recordUnreachable(server, context.now());
            }
            log(failure.detail());
            exchange.reservationFailed(server);
        }
    }
}
