package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.gateway.balance.PrefillTimeEstimator;
import org.mangoridge.gateway.balance.ServerLoad;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamRequest;
import org.mangoridge.gateway.request.Attempt;
import org.mangoridge.gateway.request.AttemptWork;
import org.mangoridge.gateway.request.PrefillResponse;
import org.mangoridge.gateway.request.ServerReply;

/** Has the prompt of a request read by a prefill server. */
final class PrefillStep implements CallListener {

    /** A prefill that takes this many times as long as expected is given up. */
    private static final int OVERDUE_FACTOR = 3;

    private static final Duration OVERDUE_SLACK = Duration.ofMillis(400);
    /** Time in which another server begins to take KV cache over. */
    private static final Duration TAKE_OVER = Duration.ofMillis(60);

    private static final int MAX_ANSWER_BYTES = 64 << 10;

    private final GatewayContext context;
    private final ModelExchange exchange;
    private final ServerEntry server;
    private final Duration expected;
    private final double expectedMillis;
    private final ServerLoad load;
    private final ServerLoad kept;
    private Duration started;
    private UpstreamCall call;
    private ScheduledFuture<?> overdueTimer;
    private ServerReply reply;
    private ByteBuf body = Unpooled.buffer(128);
    private String handle;
    private Duration read;
    private boolean reading = true;
    private boolean holding = true;

    PrefillStep(GatewayContext context, ModelExchange exchange, ServerEntry server, Duration expected) {
        this.context = context;
        this.exchange = exchange;
        this.server = server;
        this.expected = expected;
        int prompt = exchange.scope().caller().tokens().prompt();
        long ahead = context.loads().total(server.id()).prefillTokens();
        this.expectedMillis = PrefillTimeEstimator.nominalPrefillMillis(ahead + prompt);
        this.load = new ServerLoad(1, prompt, prompt);
        this.kept = new ServerLoad(0, 0, prompt);
    }

    ServerEntry server() {
        return server;
    }

    void start() {
        RequestScope scope = exchange.scope();
        context.loads().add(server.id(), load);
        context.tracks().recordSent(server.id());
        started = context.now();
        Attempt attempt =
                new Attempt(scope.caller(), server.id(), scope.left(), new AttemptWork.Prefill(), OptionalLong.empty());
        overdueTimer = context.after(expected.multipliedBy(OVERDUE_FACTOR).plus(OVERDUE_SLACK), this::overdue);
        call = context.pool()
                .call(
                        scope.upstream(
                                server.address(), attempt, EngineTimes.TRUSTED_IDLE, EngineTimes.CONNECT_TIMEOUT),
                        this);
    }

    private void overdue() {
        if (reading) {
            call.cancel();
            failed(new CallFailure(call.progress(), true, "prefill is overdue"));
        }
    }

    /** Tells whether the server still keeps the KV cache for long enough to be taken over. */
    boolean keepsCache() {
        Duration age = context.now().minus(read);
        return holding && age.plus(TAKE_OVER).compareTo(exchange.spec().kvHandleTtl()) < 0;
    }

    /**
     * Returns the work of a server that generates from the KV cache.
     *
     * @param room what that server keeps for the request, if anything
     */
    AttemptWork.Decode cache(Optional<String> room) {
        return new AttemptWork.Decode(server.address(), handle, room);
    }

    /** Gives the prefill up, or the KV cache that it made. */
    void abandon() {
        if (call == null) {
            reading = false;
            holding = false;
            body.release();
        } else if (reading) {
            call.cancel();
            finishReading();
            context.tracks().recordInconclusive(server.id());
            release();
        } else if (holding) {
            release();
            freeCache();
        }
    }

    /** Takes back the load that the KV cache puts on the server. */
    void release() {
        if (holding) {
            holding = false;
            context.loads().subtract(server.id(), kept);
            exchange.roomCame();
        }
    }

    private void finishReading() {
        reading = false;
        overdueTimer.cancel(false);
        context.loads().subtract(server.id(), load.minus(kept));
        body.release();
    }

    private void freeCache() {
        context.metrics().count("prefills.unused");
        UpstreamRequest request = UpstreamRequest.withoutBody(
                server.address(),
                HttpMethod.DELETE,
                context.dialect().cacheReleasePath(handle),
                new DefaultHttpHeaders(),
                EngineTimes.CONNECT_TIMEOUT);
        context.pool().call(request, new IgnoredAnswer(context, server, "free KV cache"));
    }

    @Override
    public boolean head(HttpResponse head) {
        ServerReply read = context.dialect().readReply(head);
        if (read.request().isPresent()
                && !read.request().get().equals(exchange.scope().caller().id())) {
            return false;
        }
        reply = read;
        return true;
    }

    @Override
    public void data(ByteBuf data) {
        if (body.readableBytes() + data.readableBytes() <= MAX_ANSWER_BYTES) {
            body.writeBytes(data);
        }
    }

    @Override
    public void completed() {
        if (!reading) {
            return;
        }
        Optional<PrefillResponse> answer = reply.status() == 200
                ? context.dialect().readPrefillResponse(ByteBufUtil.getBytes(body))
                : Optional.empty();
        Duration took = context.now().minus(started);
        context.tracks().recordAnswer(server.id(), answer.isEmpty(), took, context.now());
        finishReading();
        if (answer.isPresent()) {
            handle = answer.get().handle();
            read = context.now();
            context.pace().recordDuration(server.id(), expectedMillis, took, context.now());
            exchange.scope()
                    .log(
                            LogEvent.PROMPT_READ,
                            Field.of("server", server.id()),
                            Field.of("tokens", answer.get().tokens()),
                            Field.of("took_ms", took));
            exchange.prefilled();
        } else {
            if (reply.isUnavailable()) {
                context.tracks().recordNoAnswer(server.id(), context.now());
            }
            release();
            if (reply.isFromOtherServer(server.id())) {
                context.directory().drop(server.id());
            }
            exchange.prefillFailed(server, "prefill answered " + reply.status());
        }
    }

    @Override
    public void failed(CallFailure failure) {
        if (!reading) {
            return;
        }
        finishReading();
        context.tracks().recordNoAnswer(server.id(), context.now());
        release();
        exchange.prefillFailed(server, failure.detail());
    }
}
