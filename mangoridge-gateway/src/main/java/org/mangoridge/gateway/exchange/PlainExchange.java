package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.gateway.balance.ServerLoad;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.request.Attempt;
import org.mangoridge.gateway.request.AttemptWork;
import org.mangoridge.gateway.request.ServerReply;

/**
 * Serves one request of a plain service: sends it, and once more where that is allowed and helps.
 *
 * <p>The answer is held until it is whole, so that a broken one never reaches the caller. Used on the event loop.
 */
final class PlainExchange {

    private static final ServerLoad ONE_REQUEST = new ServerLoad(1, 0, 0);
    /** A new connection to a sound server takes a few milliseconds; a lost packet takes a second. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** A server that is silent for this long may be dark; an idempotent request goes to another one then. */
    private static final Duration SILENCE = Duration.ofMillis(300);

    private static final double SILENCE_FACTOR = 4;
    private static final Duration KEPT_FRESHNESS = Duration.ofHours(1);
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    private static final Duration LEAST_RETRY_AFTER = Duration.ofMillis(200);
    private static final int RETRY_SPREAD_MILLIS = 300;
    static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 421, 429, 503);

    private final GatewayContext context;
    private final RequestScope scope;
    private final Set<ServerId> tried = new HashSet<>();
    private PlainAttempt current;
    private ScheduledFuture<?> deadlineTimer;
    private boolean ended;

    PlainExchange(GatewayContext context, RequestScope scope) {
        this.context = context;
        this.scope = scope;
    }

    void start() {
        scope.exchange().onDisconnect(this::callerGone);
        deadlineTimer = context.after(scope.left(), this::deadlinePassed);
        place();
    }

    private void place() {
        List<ServerEntry> servers = context.directory().usable(scope.service());
        Optional<ServerEntry> server = context.plain().choose(servers, tried, context.now());
        if (server.isPresent()) {
            send(server.get());
        } else if (servers.isEmpty()) {
            giveUp(RefusalReason.NO_SERVER, "no server of the service is known");
        } else {
            giveUp(RefusalReason.NO_CAPACITY, "every server of the service is full");
        }
    }

    private void send(ServerEntry server) {
        tried.add(server.id());
        scope.sent();
        int busy = context.loads().total(server.id()).requests();
        scope.log(
                LogEvent.REQUEST_PLACED,
                Field.of("server", server.id()),
                Field.of("server_busy", busy),
                Field.of("error_share", context.tracks().errorShare(server.id(), context.now())));
        current = new PlainAttempt(server);
        current.start();
    }

    private void callerGone() {
        scope.log(LogEvent.CALLER_GONE, Field.of("server", current == null ? "none" : current.server.id()));
        end();
        if (current != null) {
            current.abandon();
        }
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        if (current != null) {
            current.countRun(current.progressVerdict());
            current.noteSilence();
            current.abandon();
        }
        giveUp(RefusalReason.DEADLINE, "no answer in time");
    }

    private void giveUp(RefusalReason reason, String detail) {
        end();
        Duration after = LEAST_RETRY_AFTER.plusMillis(context.random().nextInt(RETRY_SPREAD_MILLIS));
        scope.refuse(
                reason,
                detail,
                Optional.of(after),
                Field.of(
                        "occupancy",
                        context.plain().occupancy(context.directory().usable(scope.service()))));
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel(false);
    }

    /** Sends the request once more if that is allowed; false if the last answer is final. */
    private boolean repeat(Verdict last, ServerId server, String cause) {
        boolean allowed = RepeatDecision.maySendAgain(
                scope.route().repeat(),
                last,
                scope.runs(),
                scope.sends(),
                scope.route().maxAttempts());
        List<ServerEntry> servers = context.directory().usable(scope.service());
        boolean possible = allowed
                && !ended
                && context.plain().choose(servers, tried, context.now()).isPresent()
                && context.budget().tryRetry(scope.service(), context.instances(), context.now());
        scope.logAttemptFailed(server, cause, Field.of("repeated", possible));
        if (possible) {
            place();
        }
        return possible;
    }

    /** One server at work on the request. */
    private final class PlainAttempt implements CallListener {

        private final ServerEntry server;
        private final Duration started;
        private UpstreamCall call;
        private ScheduledFuture<?> silenceTimer;
        private HttpResponse head;
        private ServerReply reply;
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        private boolean done;
        private boolean counted;

        PlainAttempt(ServerEntry server) {
            this.server = server;
            this.started = context.now();
        }

        void start() {
            context.loads().add(server.id(), ONE_REQUEST);
            context.tracks().recordSent(server.id());
            Attempt attempt = new Attempt(
                    scope.caller(), server.id(), scope.left(), new AttemptWork.FullRequest(), OptionalLong.empty());
            if (scope.route().repeat().allowsRerun()) {
                silenceTimer = context.after(silence(), this::silent);
            }
            call = context.pool()
                    .call(scope.upstream(server.address(), attempt, KEPT_FRESHNESS, CONNECT_TIMEOUT), this);
        }

        private Duration silence() {
            double usual = context.tracks().meanLatencyMillis(server.id()) * SILENCE_FACTOR;
            return usual > SILENCE.toMillis() ? Duration.ofMillis((long) usual) : SILENCE;
        }

        Verdict progressVerdict() {
            return call == null ? Verdict.NOT_RUN : call.progress().verdict();
        }

        void countRun(Verdict reached) {
            if (!counted) {
                counted = true;
                scope.serverEnded(reached);
            }
        }

        void noteSilence() {
            if (head == null) {
                noteSilent();
            }
        }

        private void silent() {
            if (done || head != null || ended) {
                return;
            }
            Verdict last = progressVerdict();
            countRun(last);
            noteSilent();
            if (repeat(last, server.id(), "no answer yet")) {
                abandon();
            }
        }

        private void noteSilent() {
            Duration ejected = context.tracks().recordNoAnswer(server.id(), context.now());
            if (ejected.isPositive()) {
                context.log().log(
                        LogEvent.SERVER_EJECTED,
                        Field.of("server", server.id()),
                        Field.of("request", scope.caller().id()),
                        Field.of("for_ms", ejected));
            }
        }

        void abandon() {
            if (close()) {
                context.tracks().recordInconclusive(server.id());
                call.cancel();
            }
        }

        private boolean close() {
            if (done) {
                return false;
            }
            done = true;
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
            context.loads().subtract(server.id(), ONE_REQUEST);
            body.release();
            body = Unpooled.EMPTY_BUFFER;
            return true;
        }

        @Override
        public boolean head(HttpResponse answer) {
            ServerReply read = context.dialect().readReply(answer);
            if (read.request().isPresent()
                    && !read.request().get().equals(scope.caller().id())) {
                scope.log(LogEvent.STALE_ANSWER_DROPPED, Field.of("server", server.id()));
                return false;
            }
            head = answer;
            reply = read;
            return true;
        }

        @Override
        public void data(ByteBuf data) {
            if (body.readableBytes() + data.readableBytes() > MAX_ANSWER_BYTES) {
                call.cancel();
                failed(new CallFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, false, "answer is too large"));
                return;
            }
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(data.readableBytes());
            }
            body.writeBytes(data);
        }

        @Override
        public void completed() {
            ByteBuf whole = body.retain();
            if (!close() || ended) {
                whole.release();
                return;
            }
            Duration took = context.now().minus(started);
            boolean failed = reply.isServerError() || reply.isUnverifiedSuccess() || reply.didNotRun();
            context.tracks().recordAnswer(server.id(), failed, took, context.now());
            if (reply.didNotRun()) {
                whole.release();
                rejected();
            } else {
                countRun(Verdict.RAN);
                answered(whole);
            }
        }

        private void rejected() {
            if (reply.isFromOtherServer(server.id())) {
                context.directory().drop(server.id());
                context.pool().evict(server.address());
                context.log().log(LogEvent.SERVER_GONE, Field.of("server", server.id()), Field.of("cause", "replaced"));
            }
            if (!repeat(Verdict.NOT_RUN, server.id(), "rejected with " + reply.status())) {
                giveUp(RefusalReason.NO_CAPACITY, "the server rejected the request");
            }
        }

        private void answered(ByteBuf whole) {
            if (reply.isVerifiedSuccess()
                    || !reply.isServerError() && !reply.isUnverifiedSuccess() && !promisesNotRun()) {
                deliver(whole);
                return;
            }
            if (repeat(Verdict.RAN, server.id(), "answered " + reply.status())) {
                whole.release();
            } else if (reply.isUnverifiedSuccess() || promisesNotRun()) {
                whole.release();
                giveUp(RefusalReason.SERVER_FAILED, "the server's answer was not its own");
            } else {
                deliver(whole);
            }
        }

        /** A status that tells the caller that nothing ran must not be passed on where something did. */
        private boolean promisesNotRun() {
            return PROMISES_NOT_RUN.contains(reply.status());
        }

        private void deliver(ByteBuf whole) {
            end();
            scope.exchange()
                    .respond(
                            HttpResponseStatus.valueOf(reply.status()),
                            ForwardHeaders.ofAnswer(head.headers(), context.dialect()),
                            whole);
            scope.logAnswered(server.id(), reply.status());
        }

        @Override
        public void failed(CallFailure failure) {
            if (!close() || ended) {
                return;
            }
            Verdict last = failure.progress().verdict();
            countRun(last);
            if (failure.progress() == AttemptProgress.BEFORE_CONNECT) {
                noteSilent();
            } else {
                context.tracks().recordAnswer(server.id(), true, context.now().minus(started), context.now());
            }
            if (!repeat(last, server.id(), failure.detail())) {
                giveUp(RefusalReason.SERVER_FAILED, "the server did not answer");
            }
        }
    }
}
