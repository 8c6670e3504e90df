package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.gateway.balance.ServerLoad;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.request.Attempt;
import org.mangoridge.gateway.request.AttemptWork;
import org.mangoridge.gateway.request.RetryPolicy;
import org.mangoridge.gateway.request.ServerReply;

/** Has a request run by a decode server and passes its events on; holds room there from the start. */
final class DecodeStep implements CallListener {

    /** A stream without an event for this long beyond what was expected is stalled. */
    private static final Duration STALL = Duration.ofMillis(900);

    /** Events after which the memory that a request holds is counted anew, about half a second. */
    private static final int EVENTS_PER_COUNT = 10;

    private static final int MAX_FAILURE_BYTES = 64 << 10;

    private final GatewayContext context;
    private final ModelExchange exchange;
    private final ServerEntry server;
    private final Duration expected;
    private ServerLoad held;
    private ServerLoad reading = ServerLoad.NONE;
    private AttemptWork work;
    private UpstreamCall call;
    private ScheduledFuture<?> stallTimer;
    private HttpResponse head;
    private ServerReply reply;
    private final EventBuffer events = new EventBuffer();
    private ByteBuf failureBody = Unpooled.EMPTY_BUFFER;
    private Duration started;
    private boolean sawEvent;
    private int eventsSeen;
    private boolean resumed;
    private boolean ejected;
    private boolean released;

    DecodeStep(GatewayContext context, ModelExchange exchange, ServerEntry server, Duration expected) {
        this.context = context;
        this.exchange = exchange;
        this.server = server;
        this.expected = expected;
        this.held = new ServerLoad(1, 0, exchange.scope().caller().tokens().estimatedKvTokens(0));
        context.loads().add(server.id(), held);
    }

    /** Sends the request to the server. */
    void start(AttemptWork newWork) {
        RequestScope scope = exchange.scope();
        work = newWork;
        started = context.now();
        resumed = exchange.begun();
        if (work instanceof AttemptWork.FullRequest) {
            reading = new ServerLoad(0, scope.caller().tokens().prompt(), 0);
            context.loads().add(server.id(), reading);
        }
        scope.sent();
        context.tracks().recordSent(server.id());
        OptionalLong after = exchange.lastEvent();
        Attempt attempt = new Attempt(scope.caller(), server.id(), scope.left(), work, after);
        watch(expected.plus(STALL));
        call = context.pool()
                .call(
                        scope.upstream(
                                server.address(), attempt, EngineTimes.TRUSTED_IDLE, EngineTimes.CONNECT_TIMEOUT),
                        this);
    }

    /** Returns how far the server may have come with the request. */
    Verdict reached() {
        if (call == null) {
            return Verdict.NOT_RUN;
        }
        return call.progress().verdict();
    }

    void reading(boolean on) {
        if (call != null && !released) {
            call.setReading(on);
        }
    }

    void abandon() {
        if (!released) {
            release();
            if (call != null) {
                context.tracks().recordInconclusive(server.id());
                call.cancel();
            }
        }
    }

    /** Takes back the load that the request puts on the server. */
    void release() {
        if (!released) {
            released = true;
            doneReading();
            context.loads().subtract(server.id(), held);
            if (stallTimer != null) {
                stallTimer.cancel(false);
            }
            failureBody.release();
            failureBody = Unpooled.EMPTY_BUFFER;
            exchange.roomCame();
        }
    }

    private void doneReading() {
        context.loads().subtract(server.id(), reading);
        reading = ServerLoad.NONE;
    }

    private void watch(Duration time) {
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        stallTimer = context.after(time, this::stalled);
    }

    private void stalled() {
        if (released) {
            return;
        }
        if (!ejected) {
            ejected = true;
            Duration time = context.tracks().recordNoAnswer(server.id(), context.now());
            exchange.scope()
                    .log(
                            LogEvent.SERVER_EJECTED,
                            Field.of("server", server.id()),
                            Field.of("for_ms", time),
                            Field.of("cause", "stream stalled"));
        }
        if (exchange.scope().route().repeat() == RetryPolicy.RESUMABLE) {
            Verdict reached = reached();
            call.cancel();
            release();
            exchange.decodeFailed(server, reached, false, "no event in time");
        }
    }

    @Override
    public boolean head(HttpResponse answer) {
        ServerReply read = context.dialect().readReply(answer);
        if (read.request().isPresent()
                && !read.request().get().equals(exchange.scope().caller().id())) {
            exchange.scope().log(LogEvent.STALE_ANSWER_DROPPED, Field.of("server", server.id()));
            return false;
        }
        head = answer;
        reply = read;
        return true;
    }

    @Override
    public void data(ByteBuf data) {
        if (!reply.isVerifiedSuccess()) {
            keepFailure(data);
            return;
        }
        for (EventBuffer.Event event : events.add(data)) {
            deliver(event);
            if (released) {
                return;
            }
        }
        if (events.overflows()) {
            broken("event is too large");
        }
    }

    private void deliver(EventBuffer.Event event) {
        OptionalLong last = exchange.lastEvent();
        boolean numbered = event.id().isPresent() && last.isPresent();
        if (numbered && event.id().getAsLong() <= last.getAsLong()) {
            return;
        }
        if (numbered && event.id().getAsLong() > last.getAsLong() + 1) {
            broken("an event is missing before " + event.id().getAsLong());
            return;
        }
        if (!sawEvent) {
            sawEvent = true;
            firstEvent();
        }
        exchange.event(event);
        watch(STALL);
        if (++eventsSeen % EVENTS_PER_COUNT == 0) {
            countAgain();
        }
    }

    /** Counts the KV cache anew that the request holds by now. */
    private void countAgain() {
        int generated = eventsSeen * exchange.spec().maxTokensPerEvent();
        ServerLoad grown =
                new ServerLoad(1, 0, exchange.scope().caller().tokens().estimatedKvTokens(generated));
        context.loads().replace(server.id(), held, grown);
        held = grown;
    }

    private void firstEvent() {
        doneReading();
        if (work instanceof AttemptWork.Decode) {
            exchange.cacheTaken();
        }
        if (resumed) {
            exchange.scope()
                    .log(
                            LogEvent.STREAM_RESUMED,
                            Field.of("server", server.id()),
                            Field.of("after", exchange.lastEvent()));
        } else {
            context.metrics().latency("latency.first_event", exchange.scope().age());
        }
        exchange.begin(reply.status(), ForwardHeaders.ofAnswer(head.headers(), context.dialect()));
    }

    private void broken(String detail) {
        call.cancel();
        fail(Verdict.RAN, detail);
    }

    private void keepFailure(ByteBuf data) {
        if (failureBody == Unpooled.EMPTY_BUFFER) {
            failureBody = Unpooled.buffer(data.readableBytes());
        }
        if (failureBody.readableBytes() + data.readableBytes() <= MAX_FAILURE_BYTES) {
            failureBody.writeBytes(data);
        }
    }

    @Override
    public void completed() {
        if (released) {
            return;
        }
        Duration took = context.now().minus(started);
        if (reply.isVerifiedSuccess()) {
            if (events.hasPartial()) {
                fail(Verdict.RAN, "stream ends in the middle of an event");
                return;
            }
            context.tracks().recordAnswer(server.id(), false, took, context.now());
            exchange.begin(reply.status(), ForwardHeaders.ofAnswer(head.headers(), context.dialect()));
            release();
            exchange.completed(server, reply.status());
        } else if (reply.didNotRun()) {
            rejected();
        } else {
            serverFailed(took);
        }
    }

    private void rejected() {
        boolean cacheLost = work instanceof AttemptWork.Decode && !reply.isFromOtherServer(server.id());
        if (reply.isFromOtherServer(server.id())) {
            context.directory().drop(server.id());
        }
        if (reply.isUnavailable()) {
            context.loads().recordRejection(server.id(), context.now());
            context.tracks().recordInconclusive(server.id());
        } else {
            context.tracks().recordAnswer(server.id(), true, Duration.ZERO, context.now());
        }
        release();
        exchange.decodeFailed(server, Verdict.NOT_RUN, cacheLost, "rejected with " + reply.status());
    }

    private void serverFailed(Duration took) {
        context.tracks().recordAnswer(server.id(), reply.isServerError(), took, context.now());
        boolean passOn = !exchange.begun()
                && !reply.isUnverifiedSuccess()
                && !PlainExchange.PROMISES_NOT_RUN.contains(reply.status());
        boolean mayResume = exchange.scope().route().repeat().allowsRerun();
        if (passOn && !mayResume) {
            byte[] body = ByteBufUtil.getBytes(failureBody);
            release();
            exchange.answered(server, reply.status(), ForwardHeaders.ofAnswer(head.headers(), context.dialect()), body);
        } else {
            fail(Verdict.RAN, "answered " + reply.status());
        }
    }

    @Override
    public void failed(CallFailure failure) {
        if (released) {
            return;
        }
        if (failure.progress() == AttemptProgress.BEFORE_CONNECT) {
            context.tracks().recordNoAnswer(server.id(), context.now());
        } else {
            context.tracks().recordAnswer(server.id(), true, Duration.ZERO, context.now());
        }
        fail(failure.progress().verdict(), failure.detail());
    }

    private void fail(Verdict reached, String detail) {
        release();
        exchange.decodeFailed(server, reached, false, detail);
    }
}
