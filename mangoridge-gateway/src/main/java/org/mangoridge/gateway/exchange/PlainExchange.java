package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.request.Attempt;
import org.mangoridge.dispatch.request.AttemptWork;
import org.mangoridge.dispatch.request.RequestPart;
import org.mangoridge.dispatch.request.RetryDecision;
import org.mangoridge.dispatch.request.ServerReply;
import org.mangoridge.gateway.net.AnswerBuffer;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;

/**
 * Serves one request of a plain service, with retries at other servers where they are allowed.
 *
 * <p>The response is buffered until it is complete, so that a partial one never reaches the caller. Used on the event
 * loop.
 */
final class PlainExchange {

    private static final ServerLoad ONE_REQUEST = new ServerLoad(1, 0, 0, 0);
    /** Connecting to a healthy server takes a few milliseconds; a lost packet delays it by a second. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Minimum time without a response after which a server may be unreachable and an idempotent request is retried. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(300);

    /** Multiple of a server's mean response time after which an idempotent request is retried. */
    private static final double RETRY_DELAY_FACTOR = 4;
    /** Longest idle time after which a pooled connection is reused. */
    private static final Duration MAX_IDLE_FOR_REUSE = Duration.ofHours(1);

    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
    private static final int RETRY_AFTER_JITTER_MILLIS = 300;
    /** Statuses from which callers conclude that the request was not executed. */
    static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final GatewayContext context;
    private final RequestScope scope;
    private final Set<ServerId> tried = new HashSet<>();
    /** The attempts in progress; more than one while a silent server may still answer first. */
    private final List<PlainAttempt> running = new ArrayList<>();

    private ScheduledFuture<?> deadlineTimer;
    private boolean ended;

    PlainExchange(GatewayContext context, RequestScope scope) {
        this.context = context;
        this.scope = scope;
    }

    void start() {
        scope.guard().onFailure(() -> {
            end();
            recordOutcomesAndAbandon();
        });
        scope.exchange().onDisconnect(scope.guard().guarded(this::callerDisconnected));
        scope.exchange().onInstanceStop(scope.guard().guarded(this::instanceStops));
        deadlineTimer = scope.guard().schedule(scope.remainingTime(), this::deadlinePassed);
        scope.guard().run(() -> {
            if (!refuseIfQuarantined()) {
                place();
            }
        });
    }

    /** Refuses the request if it crashes servers; returns whether it was refused. */
    private boolean refuseIfQuarantined() {
        Optional<RequestPart> part = context.crashGuard().find(scope.identity());
        part.ifPresent(found -> {
            end();
            scope.refuseQuarantined(found);
        });
        return part.isPresent();
    }

    private void place() {
        List<ServerEntry> servers = context.directory().usable(scope.service());
        Optional<ServerEntry> server = context.plainBalancer().choose(servers, tried, context.now());
        if (server.isPresent()) {
            send(server.get());
        } else if (servers.isEmpty()) {
            giveUp(RefusalReason.NO_SERVER, "the service has no usable backend server; retry later");
        } else {
            giveUp(
                    RefusalReason.NO_CAPACITY,
                    "no backend server of the service can accept the request now; retry later");
        }
    }

    private void send(ServerEntry server) {
        tried.add(server.id());
        scope.recordSend();
        int busy = context.loads().total(server.id()).requests();
        scope.logPlaced(
                List.of(server),
                Field.of("server", server.id()),
                Field.of("server_busy", busy),
                Field.of("error_share", context.serverHealth().errorShare(server.id(), context.now())));
        PlainAttempt attempt = new PlainAttempt(context.calls().acquire(server, CallKind.PLAIN));
        running.add(attempt);
        attempt.start();
    }

    private void callerDisconnected() {
        scope.log(
                LogEvent.CALLER_GONE,
                Field.of(
                        "server",
                        running.isEmpty() ? "none" : running.getLast().server.id()));
        end();
        abandonAll();
    }

    private void abandonAll() {
        List.copyOf(running).forEach(PlainAttempt::abandon);
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        running.forEach(PlainAttempt::recordTimeoutIfNoResponse);
        recordOutcomesAndAbandon();
        giveUp(RefusalReason.DEADLINE, "no response before the deadline of the request");
    }

    private void recordOutcomesAndAbandon() {
        running.forEach(attempt -> attempt.recordOutcome(attempt.verdict()));
        abandonAll();
    }

    private void instanceStops() {
        recordOutcomesAndAbandon();
        end();
        scope.refuseDraining();
    }

    private void giveUp(RefusalReason reason, String detail) {
        end();
        Duration after = returnTime();
        scope.refuse(
                reason,
                detail,
                Optional.of(after),
                Field.of(
                        "occupancy",
                        context.plainBalancer().occupancy(context.directory().usable(scope.service()))));
    }

    /** Returns when the caller may return: soon, or when this instance may send to a server that takes nothing now. */
    private Duration returnTime() {
        Duration soon = MIN_RETRY_AFTER.plusMillis(context.random().nextInt(RETRY_AFTER_JITTER_MILLIS));
        List<ServerEntry> servers = context.directory().usable(scope.service());
        Duration backOffEnd = servers.stream()
                .map(server -> context.serverHealth().backOffRemaining(server, context.now()))
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
        if (backOffEnd.compareTo(soon) > 0) {
            return backOffEnd.plus(soon);
        }
        boolean atLimit = !servers.isEmpty()
                && servers.stream().noneMatch(server -> context.limiter().permits(server, context.now()));
        if (!atLimit) {
            return soon;
        }
        Duration next = context.limiter().nextReturn(scope.service(), servers, context.now());
        if (context.limiter().firstPauseEnd(servers, context.now()).isPresent()) {
            return next.plus(soon);
        }
        return next.compareTo(soon) > 0 ? next : soon;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel(false);
    }

    /** Retries the request if that is allowed and possible, or leaves it to an attempt in progress; else returns false. */
    private boolean retryOrLeaveToOther(Verdict last, ServerId server, String cause) {
        return retry(last, server, cause) || !running.isEmpty();
    }

    /** Sends the request to another server if a retry is allowed and possible; otherwise returns false. */
    private boolean retry(Verdict last, ServerId server, String cause) {
        long unrecorded =
                running.stream().filter(attempt -> !attempt.outcomeRecorded).count();
        boolean allowed = RetryDecision.mayRetry(
                scope.route().repeat(),
                last,
                scope.runs() + (int) unrecorded,
                scope.sends(),
                scope.route().maxAttempts());
        Optional<ServerEntry> next =
                context.plainBalancer().choose(context.directory().usable(scope.service()), tried, context.now());
        boolean retrying = allowed
                && !ended
                && !scope.isTooLate()
                && !context.crashGuard().implicates(scope.identity())
                && next.isPresent()
                && context.retryBudget().tryRetry(scope.service(), context.instanceCount(), context.now());
        scope.logAttemptFailed(server, cause, Field.of("repeated", retrying));
        if (retrying) {
            send(next.get());
        }
        return retrying;
    }

    /** An attempt to serve the request at one server. */
    private final class PlainAttempt implements CallListener {

        private final ServerEntry server;
        private final SendPermit permit;
        private final Duration started;
        private UpstreamCall call;
        private ScheduledFuture<?> retryTimer;
        private ScheduledFuture<?> silenceTimer;
        private HttpResponse head;
        private ServerReply reply;
        private final AnswerBuffer body;
        private boolean closed;
        private boolean outcomeRecorded;
        private boolean timeoutRecorded;

        PlainAttempt(SendPermit permit) {
            this.server = permit.server();
            this.permit = permit;
            this.started = context.now();
            this.body = AnswerBuffer.open(
                    context.buffers(),
                    server.address(),
                    MAX_RESPONSE_BYTES,
                    scope.guard().guarded(this::bodyLost));
        }

        void start() {
            context.loads().add(server.id(), ONE_REQUEST);
            context.serverHealth().recordSent(server, context.now());
            Attempt attempt = new Attempt(
                    scope.caller(),
                    scope.access(),
                    server.id(),
                    scope.remainingTime(),
                    new AttemptWork.FullRequest(),
                    OptionalLong.empty());
            Duration silenceLimit = max(retryDelay(), scope.remainingTime().dividedBy(2));
            silenceTimer = scope.guard().schedule(silenceLimit, this::recordTimeoutIfNoResponse);
            if (scope.route().repeat().allowsRerun()) {
                retryTimer = scope.guard().schedule(retryDelay(), this::onRetryDelayPassed);
            }
            call = context.calls()
                    .call(
                            permit,
                            scope.upstreamRequest(server.address(), attempt, MAX_IDLE_FOR_REUSE, CONNECT_TIMEOUT),
                            this);
            scope.recordCall(call);
        }

        private Duration retryDelay() {
            double usual = context.serverHealth().meanLatencyMillis(server.id()) * RETRY_DELAY_FACTOR;
            return max(Duration.ofMillis((long) usual), MIN_RETRY_DELAY);
        }

        Verdict verdict() {
            return call == null ? Verdict.NOT_RUN : call.progress().verdict();
        }

        void recordOutcome(Verdict verdict) {
            if (!outcomeRecorded) {
                outcomeRecorded = true;
                scope.recordOutcome(verdict);
            }
        }

        void recordTimeoutIfNoResponse() {
            if (head == null && !timeoutRecorded) {
                timeoutRecorded = true;
                recordTimeout();
            }
        }

        private void onRetryDelayPassed() {
            if (closed || head != null || ended) {
                return;
            }
            Verdict last = verdict();
            if (last == Verdict.NOT_RUN) {
                retryTimer = scope.guard().schedule(retryDelay(), this::onRetryDelayPassed);
                return;
            }
            recordOutcome(last);
            context.serverHealth().recordSilence(server.id(), context.now());
            retry(last, server.id(), "no answer yet; the attempt goes on");
        }

        private void recordTimeout() {
            Duration ejected = context.serverHealth().recordNoAnswer(server.id(), context.now());
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
                context.serverHealth().recordInconclusive(server.id());
                call.cancel();
            }
        }

        private boolean close() {
            if (closed) {
                return false;
            }
            closed = true;
            running.remove(this);
            silenceTimer.cancel(false);
            if (retryTimer != null) {
                retryTimer.cancel(false);
            }
            context.loads().subtract(server.id(), ONE_REQUEST);
            body.close();
            return true;
        }

        @Override
        public void foreignAnswerDropped() {
            scope.log(LogEvent.STALE_ANSWER_DROPPED, Field.of("server", server.id()));
        }

        @Override
        public void head(HttpResponse response) {
            head = response;
            reply = context.dialect().readReply(response);
            scope.recordHead(reply);
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
            if (body.isEvicted()) {
                return;
            }
            ByteBuf whole = body.take();
            if (!close() || ended) {
                whole.release();
                return;
            }
            Duration took = context.now().minus(started);
            if (reply.isRejection()) {
                recordRejection(took);
            } else {
                boolean failed = reply.isServerError() || reply.isUnverifiedSuccess();
                context.serverHealth().recordAnswer(server, failed, took, context.now());
            }
            if (reply.didNotRun()) {
                whole.release();
                onRejection();
            } else {
                recordOutcome(Verdict.RAN);
                context.crashGuard().soundAnswer(scope.identity());
                onResponse(whole);
            }
        }

        private void recordRejection(Duration took) {
            context.metrics().count("rejections");
            Duration backOff = context.serverHealth().recordRejection(server, took, context.now());
            if (backOff.isPositive()) {
                context.log().log(
                        LogEvent.SERVER_REJECTING, Field.of("server", server.id()), Field.of("for_ms", backOff));
            }
        }

        private void onRejection() {
            if (reply.isFromOtherServer(server.id())) {
                context.directory().drop(server.id());
                context.calls().evict(server.address());
                context.log().log(LogEvent.SERVER_GONE, Field.of("server", server.id()), Field.of("cause", "replaced"));
            }
            if (!retryOrLeaveToOther(Verdict.NOT_RUN, server.id(), "rejected with " + reply.status())) {
                giveUp(
                        RefusalReason.NO_CAPACITY,
                        "the backend server rejected the request and it could not be retried");
            }
        }

        private void onResponse(ByteBuf whole) {
            if (reply.isVerifiedSuccess()
                    || !reply.isServerError() && !reply.isUnverifiedSuccess() && !impliesNotRun()) {
                forward(whole);
                return;
            }
            if (retryOrLeaveToOther(Verdict.RAN, server.id(), "answered " + reply.status())) {
                whole.release();
            } else if (reply.isUnverifiedSuccess() || impliesNotRun()) {
                whole.release();
                giveUp(
                        RefusalReason.SERVER_FAILED,
                        "the backend server's response is unsigned or has a status that must not be forwarded");
            } else {
                forward(whole);
            }
        }

        /** Returns whether the status would wrongly tell the caller that the request was not executed. */
        private boolean impliesNotRun() {
            return NOT_RUN_STATUSES.contains(reply.status());
        }

        private void forward(ByteBuf whole) {
            end();
            abandonAll();
            scope.recordCall(call);
            scope.recordHead(reply);
            scope.exchange()
                    .respond(
                            HttpResponseStatus.valueOf(reply.status()),
                            ForwardHeaders.ofResponse(head.headers(), context.dialect()),
                            whole);
            scope.logAnswered(server.id(), reply.status());
        }

        @Override
        public void broken(RuntimeException error) {
            scope.guard().fail(error);
        }

        @Override
        public void failed(CallFailure failure) {
            if (!close() || ended) {
                return;
            }
            Verdict last = failure.progress().verdict();
            recordOutcome(last);
            if (failure.isUnreachable()) {
                context.serverHealth().recordUnreachable(server, context.now());
            }
            if (failure.progress() == AttemptProgress.BEFORE_CONNECT) {
                recordTimeout();
            } else {
                context.serverHealth().recordAnswer(server, true, context.now().minus(started), context.now());
                context.crashGuard().brokenOff(server, scope.identity());
            }
            if (!retryOrLeaveToOther(last, server.id(), failure.detail())) {
                giveUp(
                        RefusalReason.SERVER_FAILED,
                        "the backend server did not respond and the request could not be retried");
            }
        }
    }
}
