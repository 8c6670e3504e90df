package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamRequest;
import org.mangoridge.gateway.request.ServerReply;

/**
 * Has a decode server keep room for a request before its prompt is read.
 *
 * <p>What peers report is some time old, so that two instances can choose the last room of a server. Only the server
 * knows who came first, and a prompt that was read for nothing costs more than this call.
 */
final class RoomStep implements CallListener {

    /** Room is kept for twice the time that the prompt is expected to take, and this. */
    private static final Duration KEPT_BESIDES = Duration.ofMillis(400);

    private static final int KEPT_FACTOR = 2;
    /** A server answers within some milliseconds, having nothing to work out; one that takes this long hangs. */
    private static final Duration OVERDUE = Duration.ofMillis(300);
    /** How long a server that has no room is not asked again; a stream of a busy server ends about that often. */
    private static final Duration ASK_AGAIN = Duration.ofMillis(100);

    private static final int MAX_ANSWER_BYTES = 4096;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final GatewayContext context;
    private final ModelExchange exchange;
    private final ServerEntry server;
    private final Duration time;
    private final ByteBuf body = Unpooled.buffer(64);
    private UpstreamCall call;
    private ScheduledFuture<?> overdueTimer;
    private ServerReply reply;
    private boolean asking = true;
    private Optional<String> room = Optional.empty();
    private Duration keptUntil = Duration.ZERO;

    RoomStep(GatewayContext context, ModelExchange exchange, ServerEntry server, Duration firstToken) {
        this.context = context;
        this.exchange = exchange;
        this.server = server;
        Duration wanted = firstToken.multipliedBy(KEPT_FACTOR).plus(KEPT_BESIDES);
        Duration most = exchange.spec().reservationTtl();
        this.time = wanted.compareTo(most) <= 0 ? wanted : most;
    }

    void start() {
        HttpHeaders headers = new DefaultHttpHeaders();
        int tokens = exchange.scope().caller().tokens().estimatedKvTokens(0);
        byte[] asked = context.dialect().writeReservationRequest(headers, server.id(), tokens, time);
        UpstreamRequest request = new UpstreamRequest(
                server.address(),
                HttpMethod.POST,
                context.dialect().reservationPath(),
                headers,
                Unpooled.wrappedBuffer(asked),
                EngineTimes.TRUSTED_IDLE,
                EngineTimes.CONNECT_TIMEOUT);
        overdueTimer = context.after(OVERDUE, this::overdue);
        keptUntil = context.now().plus(time);
        call = context.pool().call(request, this);
    }

    /** Returns the room for the request that is sent now; empty if the server keeps none any more. */
    Optional<String> use() {
        Optional<String> used = context.now().compareTo(keptUntil) < 0 ? room : Optional.empty();
        room = Optional.empty();
        return used;
    }

    /** Gives the room back, or stops asking for it. */
    void abandon() {
        if (asking) {
            finish();
            call.cancel();
        } else if (room.isPresent()) {
            UpstreamRequest request = UpstreamRequest.withoutBody(
                    server.address(),
                    HttpMethod.DELETE,
                    context.dialect().reservationReleasePath(room.get()),
                    new DefaultHttpHeaders(),
                    EngineTimes.CONNECT_TIMEOUT);
            room = Optional.empty();
            context.pool().call(request, new IgnoredAnswer(context, server, "give room back"));
        }
    }

    private void overdue() {
        if (asking) {
            call.cancel();
            failed(new CallFailure(call.progress(), true, "no answer about room in time"));
        }
    }

    private void finish() {
        asking = false;
        overdueTimer.cancel(false);
        body.release();
    }

    @Override
    public boolean head(HttpResponse head) {
        reply = context.dialect().readReply(head);
        return true;
    }

    @Override
    public void data(ByteBuf data) {
        if (asking && body.readableBytes() + data.readableBytes() <= MAX_ANSWER_BYTES) {
            body.writeBytes(data);
        }
    }

    @Override
    public void completed() {
        if (!asking) {
            return;
        }
        byte[] answer = ByteBufUtil.getBytes(body);
        finish();
        if (reply.isFromOtherServer(server.id())) {
            context.directory().drop(server.id());
            refused("another server has the address");
        } else if (reply.status() == UNAVAILABLE) {
            context.loads().markFull(server.id(), context.now().plus(ASK_AGAIN));
            refused("no room");
        } else {
            room = reply.status() == OK ? context.dialect().readReservation(answer) : Optional.empty();
            exchange.roomKept();
        }
    }

    private void refused(String detail) {
        log(detail);
        context.metrics().count("room.refused");
        exchange.roomRefused();
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
    public void failed(CallFailure failure) {
        if (asking) {
            finish();
            context.tracks().recordNoAnswer(server.id(), context.now());
            log(failure.detail());
            exchange.roomUnknown(server);
        }
    }
}
