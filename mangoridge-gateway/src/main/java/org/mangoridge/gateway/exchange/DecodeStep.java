package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.dispatch.balance.EngineBalancer;
import org.mangoridge.dispatch.balance.QueueDeadlines;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.balance.StreamAllowance;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.request.Attempt;
import org.mangoridge.dispatch.request.AttemptWork;
import org.mangoridge.dispatch.request.ServerReply;
import org.mangoridge.dispatch.request.StreamPosition;
import org.mangoridge.dispatch.request.TokenDemand;
import org.mangoridge.gateway.net.AnswerBuffer;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamPool;

/**
 * Executes a request at a decode server and forwards its events to the caller.
 *
 * <p>The request counts towards the server's load from construction until {@link #release}.
 */
final class DecodeStep implements CallListener {

    /** Number of times that a silent server is looked at before the caller is assumed to leave. */
    private static final int SILENCE_CHECKS = 4;

    /** Time from the first event in which a crash of the server may be due to the prompt. */
    private static final Duration BEGINNING = Duration.ofMillis(500);
    /** Time from the first event after which the server has survived the prompt. */
    private static final Duration SURVIVAL_TIME = Duration.ofSeconds(1);

    private static final int MAX_ERROR_BODY_BYTES = 64 << 10;

    private final GatewayContext context;
    private final ModelExchange exchange;
    private final ServerEntry server;
    private final SendPermit permit;
    private final Duration expectedFirstEvent;
    /** Time without an event, beyond the expected time to the first one, after which the server counts as silent. */
    private final Duration silenceTime;

    private ServerLoad load;
    private ServerLoad prefillLoad = ServerLoad.NONE;
    private AttemptWork work;
    private UpstreamCall call;
    private ScheduledFuture<?> silenceTimer;
    private int silenceChecks;
    private boolean reading = true;
    private boolean outcomeRecorded;
    private HttpResponse head;
    private ServerReply reply;
    private final EventBuffer eventBuffer;
    private final AnswerBuffer errorBody;
    private Duration started;
    /** When the first event arrived; null before. */
    private Duration firstEventAt;

    private boolean survivalRecorded;
    private int eventCount;
    /** Number of events, and the time, up to which the pace of the stream was recorded. */
    private int paceEvents = 1;

    private Duration paceTime;
    /** Whether reading was paused since then, so that the pace is that of the caller. */
    private boolean pausedByCaller;

    private boolean resuming;
    private boolean released;

    DecodeStep(GatewayContext context, ModelExchange exchange, SendPermit permit, Duration expectedFirstEvent) {
        this.context = context;
        this.exchange = exchange;
        this.server = permit.server();
        this.permit = permit;
        this.expectedFirstEvent = expectedFirstEvent;
        this.silenceTime =
                QueueDeadlines.callerPatience(exchange.scope().route()).dividedBy(SILENCE_CHECKS);
        TokenDemand tokens = exchange.scope().caller().tokens();
        RequestGuard guard = exchange.scope().guard();
        this.eventBuffer = EventBuffer.of(
                StreamAllowance.of(tokens, exchange.spec()),
                context.buffers(),
                server.address(),
                guard.guarded(this::onEviction));
        this.errorBody = AnswerBuffer.open(
                context.buffers(), server.address(), MAX_ERROR_BODY_BYTES, guard.guarded(this::bodyLost));
        this.load = ServerLoad.ofDecode(tokens, exchange.spec(), 0);
        context.loads().add(server.id(), load);
    }

    ServerEntry server() {
        return server;
    }

    /** Sends the request to the server. */
    void start(AttemptWork newWork) {
        RequestScope scope = exchange.scope();
        work = newWork;
        started = context.now();
        resuming = exchange.response().started();
        if (work instanceof AttemptWork.FullRequest) {
            prefillLoad = new ServerLoad(0, scope.caller().tokens().prompt(), 0, 0);
            context.loads().add(server.id(), prefillLoad);
        }
        scope.recordSend();
        context.serverHealth().recordSent(server, context.now());
        OptionalLong after = exchange.response().position().lastId();
        Attempt attempt = new Attempt(scope.caller(), scope.access(), server.id(), scope.remainingTime(), work, after);
        restartSilenceTimer(expectedFirstEvent.plus(silenceTime));
        call = context.calls()
                .call(
                        permit,
                        scope.upstreamRequest(
                                server.address(),
                                attempt,
                                EngineTimeouts.MAX_IDLE_FOR_REUSE,
                                EngineTimeouts.CONNECT_TIMEOUT),
                        this);
        scope.recordCall(call);
    }

    /** Returns whether the server may have executed the request. */
    Verdict verdict() {
        if (call == null) {
            return Verdict.NOT_RUN;
        }
        return call.progress().verdict();
    }

    /** Records once whether the server may have executed the request. */
    void recordOutcome(Verdict verdict) {
        if (!outcomeRecorded) {
            outcomeRecorded = true;
            exchange.scope().recordOutcome(verdict);
        }
    }

    /** Pauses or resumes reading the response, so that a slow caller slows the server down. */
    void setReading(boolean on) {
        reading = on;
        pausedByCaller |= !on;
        if (call != null && !released) {
            call.setReading(on);
        }
    }

    /** Cancels the attempt; the outcome is not counted for or against the server. */
    void abandon() {
        if (!released) {
            release();
            if (call != null) {
                context.serverHealth().recordInconclusive(server.id());
                call.cancel();
            }
        }
    }

    /** Removes the load of the request from the server and stops the silence timer; repeated calls have no effect. */
    void release() {
        if (!released) {
            released = true;
            removePrefillLoad();
            context.loads().subtract(server.id(), load);
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
            errorBody.close();
            eventBuffer.close();
            if (call == null) {
                context.calls().giveBack(permit);
            }
            exchange.capacityFreed();
        }
    }

    private void removePrefillLoad() {
        context.loads().subtract(server.id(), prefillLoad);
        prefillLoad = ServerLoad.NONE;
    }

    private void restartSilenceTimer(Duration time) {
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        silenceTimer = exchange.scope().guard().schedule(time, this::onSilence);
    }

    /**
     * Looks at a server that sent no event for some time. It may be sound and go on, so that its run is never ended for its
     * silence, except by the first event of another server.
     */
    private void onSilence() {
        if (released) {
            return;
        }
        restartSilenceTimer(silenceTime);
        if (!reading) {
            // The caller is slow, not the server.
            return;
        }
        silenceChecks++;
        if (silenceChecks == 1) {
            context.calls()
                    .checkListening(
                            server,
                            EngineTimeouts.CONNECT_TIMEOUT,
                            exchange.scope().guard().guarded(this::onListeningChecked));
        } else {
            eject("no event for a long time");
            exchange.serverSilent(this);
        }
    }

    private void onListeningChecked(UpstreamPool.Listening listening) {
        if (released || silenceChecks == 0) {
            return;
        }
        if (listening == UpstreamPool.Listening.YES) {
            context.serverHealth().recordSilence(server.id(), context.now());
        } else {
            eject("no event, and no new connection");
            exchange.serverSilent(this);
        }
    }

    private void eject(String cause) {
        Duration time = context.serverHealth().recordNoAnswer(server.id(), context.now());
        if (time.isPositive()) {
            exchange.scope()
                    .log(
                            LogEvent.SERVER_EJECTED,
                            Field.of("server", server.id()),
                            Field.of("for_ms", time),
                            Field.of("cause", cause));
        }
    }

    @Override
    public void foreignAnswerDropped() {
        exchange.scope().log(LogEvent.STALE_ANSWER_DROPPED, Field.of("server", server.id()));
    }

    @Override
    public void head(HttpResponse response) {
        head = response;
        reply = context.dialect().readReply(response);
        exchange.scope().recordHead(reply);
    }

    @Override
    public void data(ByteBuf data) {
        if (!isStream()) {
            errorBody.add(data);
            return;
        }
        for (EventBuffer.Event event : eventBuffer.add(data)) {
            forward(event);
            if (released) {
                return;
            }
        }
        eventBuffer.exceededBound().ifPresent(this::failStream);
    }

    /** Returns whether the answer is one that begins the response or can go on with it. */
    private boolean isStream() {
        return reply.isVerifiedSuccess() && (!resuming || exchange.response().isContinuedBy(head));
    }

    private void forward(EventBuffer.Event event) {
        boolean goesOn = resuming && eventCount == 0;
        if (event.separator()) {
            if (!goesOn) {
                exchange.answeredBy(this);
                deliver(event);
            }
            return;
        }
        StreamPosition.Order order = exchange.response().position().judge(event.id(), goesOn);
        if (order == StreamPosition.Order.NEXT) {
            exchange.answeredBy(this);
            deliver(event);
        } else if (order == StreamPosition.Order.BROKEN) {
            failStream("an event does not follow the one before");
        }
    }

    private void deliver(EventBuffer.Event event) {
        if (firstEventAt == null) {
            firstEventAt = context.now();
            paceTime = firstEventAt;
            onFirstEvent();
        } else if (context.now().minus(firstEventAt).compareTo(SURVIVAL_TIME) >= 0) {
            recordSurvival();
        }
        exchange.response().forward(event);
        silenceChecks = 0;
        restartSilenceTimer(silenceTime);
        if (!event.separator() && ++eventCount % EngineSpec.EVENTS_PER_LOAD_UPDATE == 0) {
            recordPace();
            updateLoad();
        }
    }

    /** Records the pace of the events since the last time, so that a stream in progress tells it too. */
    private void recordPace() {
        Duration now = context.now();
        if (eventCount > paceEvents && !pausedByCaller) {
            int tokens = (eventCount - paceEvents) * exchange.spec().maxTokensPerEvent();
            Duration took = now.minus(paceTime);
            context.admission().servingTimes().recordPace(exchange.scope().service(), tokens, took, now);
        }
        paceEvents = eventCount;
        paceTime = now;
        pausedByCaller = !reading;
    }

    /** Updates the KV cache that is accounted for the request according to the events received so far. */
    private void updateLoad() {
        int generated = eventCount * exchange.spec().maxTokensPerEvent();
        ServerLoad updated = ServerLoad.ofDecode(exchange.scope().caller().tokens(), exchange.spec(), generated);
        context.loads().replace(server.id(), load, updated);
        load = updated;
    }

    private void onFirstEvent() {
        removePrefillLoad();
        Duration expected = work instanceof AttemptWork.Decode ? EngineBalancer.handoverTime() : expectedFirstEvent;
        context.serverHealth().recordWork(server, firstEventAt.minus(started), expected, firstEventAt);
        if (work instanceof AttemptWork.Decode) {
            exchange.cacheImported();
        }
        if (resuming) {
            exchange.scope()
                    .log(
                            LogEvent.STREAM_RESUMED,
                            Field.of("server", server.id()),
                            Field.of("after", exchange.response().position().lastId()));
        } else {
            context.metrics()
                    .recordLatency("latency.first_event", exchange.scope().age());
        }
        exchange.response().start(head);
    }

    private void recordSurvival() {
        if (!survivalRecorded) {
            survivalRecorded = true;
            context.crashGuard().soundAnswer(exchange.scope().identity());
        }
    }

    /** Tells the guard that the server broke off, unless it had been answering for some time. */
    private void recordBreak() {
        if (firstEventAt == null || context.now().minus(firstEventAt).compareTo(BEGINNING) < 0) {
            context.crashGuard().brokenOff(server, exchange.scope().identity());
        }
    }

    private void failStream(String detail) {
        call.cancel();
        fail(Verdict.RAN, detail);
    }

    private void onEviction() {
        bodyLost(new CallFailure(
                AttemptProgress.ANSWER_PARTLY_RECEIVED, false, "the buffers are full and this server fills most"));
    }

    private void bodyLost(CallFailure failure) {
        if (!released) {
            call.cancel();
            failed(failure);
        }
    }

    @Override
    public void completed() {
        if (released || eventBuffer.isEvicted() || errorBody.isEvicted()) {
            return;
        }
        Duration took = context.now().minus(started);
        if (isStream()) {
            if (eventBuffer.hasPartial() || endsBeforeNextEvent()) {
                recordBreak();
                fail(Verdict.RAN, "stream ended before or within an event");
                return;
            }
            context.serverHealth().recordAnswer(server, false, took, context.now());
            recordSurvival();
            recordPace();
            exchange.answeredBy(this);
            exchange.response().start(head);
            release();
            exchange.completed(server, reply.status());
        } else if (reply.didNotRun()) {
            onRejection();
        } else {
            onServerError(took);
        }
    }

    /**
     * Returns whether no event came though one is known to follow, or though only the end of the connection says that the
     * stream is complete.
     */
    private boolean endsBeforeNextEvent() {
        boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        return eventCount == 0
                && (!framed || resuming && exchange.response().position().expectsMore());
    }

    private void onRejection() {
        boolean cacheLost = work instanceof AttemptWork.Decode && !reply.isFromOtherServer(server.id());
        if (reply.isFromOtherServer(server.id())) {
            context.directory().drop(server.id());
        }
        if (reply.isUnavailable()) {
            context.loads().recordRejection(server.id(), context.now());
            context.serverHealth().recordInconclusive(server.id());
        } else {
            context.serverHealth().recordAnswer(server, true, Duration.ZERO, context.now());
        }
        release();
        exchange.decodeFailed(this, Verdict.NOT_RUN, cacheLost, "rejected with " + reply.status());
    }

    private void onServerError(Duration took) {
        context.serverHealth().recordAnswer(server, reply.isServerError(), took, context.now());
        boolean mayForward = !exchange.response().started()
                && !reply.isUnverifiedSuccess()
                && !PlainExchange.NOT_RUN_STATUSES.contains(reply.status());
        boolean mayRerun = exchange.scope().route().repeat().allowsRerun();
        if (mayForward && !mayRerun) {
            byte[] body = errorBody.bytes();
            release();
            exchange.forwardFailure(
                    server, reply.status(), ForwardHeaders.ofResponse(head.headers(), context.dialect()), body);
        } else {
            fail(Verdict.RAN, "answered " + reply.status());
        }
    }

    @Override
    public void broken(RuntimeException error) {
        exchange.scope().guard().fail(error);
    }

    @Override
    public void failed(CallFailure failure) {
        if (released) {
            return;
        }
        if (failure.isUnreachable()) {
            context.serverHealth().recordUnreachable(server, context.now());
        }
        if (failure.progress() == AttemptProgress.BEFORE_CONNECT) {
            context.serverHealth().recordNoAnswer(server.id(), context.now());
        } else {
            context.serverHealth().recordAnswer(server, true, Duration.ZERO, context.now());
            recordBreak();
        }
        fail(failure.progress().verdict(), failure.detail());
    }

    private void fail(Verdict verdict, String detail) {
        if (eventBuffer.hasPartial()) {
            exchange.response().position().recordBegunEvent();
        }
        release();
        exchange.decodeFailed(this, verdict, false, detail);
    }
}
