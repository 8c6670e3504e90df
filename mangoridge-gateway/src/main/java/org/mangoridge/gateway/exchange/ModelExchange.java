package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.dispatch.balance.EnginePlacement;
import org.mangoridge.dispatch.balance.PlacementTarget;
import org.mangoridge.dispatch.balance.QueueDeadlines;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.directory.ServerStage;
import org.mangoridge.dispatch.request.AttemptWork;
import org.mangoridge.dispatch.request.RequestPart;
import org.mangoridge.dispatch.request.RetryDecision;
import org.mangoridge.dispatch.request.RetryPolicy;
import org.mangoridge.dispatch.request.StreamPosition;

/**
 * Serves one model request: places it, runs prefill and decode, and forwards the events to the caller.
 *
 * <p>If a server fails, the request is retried at another one, and a resumable stream continues after the last
 * delivered event. Used on the event loop.
 */
final class ModelExchange {

    /**
     * Share of the latency target within which the first token of a late request must be expected for it to be placed,
     * so that late requests do not delay those that can still be on time.
     */
    private static final double LATE_REQUEST_TARGET_SHARE = 0.5;

    /** Expected time from the start of a KV cache import to the first token. */
    private static final Duration CACHE_IMPORT_TIME = Duration.ofMillis(100);

    private final GatewayContext context;
    private final RequestScope scope;
    private final EngineSpec spec;
    private final ModelQueue queue;
    private final QueueDeadlines queueDeadlines;
    private final Set<ServerId> excludedServers = new HashSet<>();
    private PrefillStep prefill;
    private DecodeStep decode;
    private ReservationStep reservation;
    private ScheduledFuture<?> deadlineTimer;
    private final StreamPosition position;
    /** The head of the first server's answer, with which the response began; null before. */
    private HttpResponse firstHead;

    private boolean ended;
    private int eventsDelivered;

    ModelExchange(GatewayContext context, RequestScope scope, EngineSpec spec, ModelQueue queue) {
        this.context = context;
        this.scope = scope;
        this.spec = spec;
        this.queue = queue;
        this.queueDeadlines = QueueDeadlines.of(scope.route(), scope.arrived(), scope.deadline());
        this.position = StreamPosition.after(scope.caller().resumeAfter());
    }

    void start() {
        scope.exchange().onDisconnect(this::callerDisconnected);
        scope.exchange().onWritabilityChange(on -> {
            if (decode != null) {
                decode.setReading(on);
            }
        });
        deadlineTimer = context.schedule(scope.remainingTime(), this::deadlinePassed);
        placeOrEnqueue();
    }

    RequestScope scope() {
        return scope;
    }

    EngineSpec spec() {
        return spec;
    }

    StreamPosition position() {
        return position;
    }

    boolean ended() {
        return ended;
    }

    boolean responseStarted() {
        return firstHead != null;
    }

    /** Returns whether an answer can go on with the response: it is of the same kind as the one that began it. */
    boolean continuesResponse(HttpResponse head) {
        return head.status().equals(firstHead.status())
                && Objects.equals(HttpUtil.getMimeType(head), HttpUtil.getMimeType(firstHead));
    }

    private void placeOrEnqueue() {
        if (refuseIfQuarantined() || refuseIfAllPaused()) {
            return;
        }
        if (scope.caller().tokens().prompt() >= spec.kvCapacity()) {
            giveUp(RefusalReason.NO_CAPACITY, "the prompt is larger than the KV cache of a backend server");
            return;
        }
        Optional<EnginePlacement> placement = findPlacement();
        if (placement.isPresent()) {
            place(placement.get());
        } else if (servers().isEmpty()) {
            giveUp(RefusalReason.NO_SERVER, "the service has no usable backend server; retry later");
        } else if (!queue.offer(scope.service(), this, scope.route(), queueDeadlines)) {
            giveUp(RefusalReason.NO_CAPACITY, "the queue of the service is full; retry later");
        } else {
            scope.log(
                    LogEvent.REQUEST_WAITING,
                    Field.of("waiting", queue.size(scope.service())),
                    Field.of("prompt_tokens", scope.caller().tokens().prompt()),
                    Field.of("until_ms", queueDeadlines.giveUpAt().minus(context.now())));
        }
    }

    /** Refuses the request, or cuts its stream, if a part of its prompt crashes servers; returns whether it did so. */
    boolean refuseIfQuarantined() {
        Optional<RequestPart> part = context.crashGuard().find(scope.identity());
        if (part.isEmpty()) {
            return false;
        }
        abandon();
        if (responseStarted()) {
            cutStream("a part of the prompt is quarantined");
        } else {
            scope.refuseQuarantined(part.get());
        }
        return true;
    }

    /** Refuses the request if no server that could decode it takes anything now; returns whether it was refused. */
    boolean refuseIfAllPaused() {
        List<ServerEntry> decodeServers = servers().stream()
                .filter(server -> server.stage() != ServerStage.PREFILL)
                .toList();
        Optional<Duration> pauseEnd = context.limiter().firstPauseEnd(decodeServers, context.now());
        if (pauseEnd.isEmpty() || responseStarted()) {
            return false;
        }
        abandon();
        Duration spread =
                queue.retryAfterPolicy().recordRefused(scope.remainingTime(), context.random(), context.now());
        scope.refuse(
                RefusalReason.NO_CAPACITY,
                "all backend servers of the service have asked for a pause; retry later",
                Optional.of(pauseEnd.get().plus(spread)));
        return true;
    }

    private List<ServerEntry> servers() {
        return context.directory().usable(scope.service());
    }

    /** Returns the servers to which the request can be sent now; empty if it has to wait. */
    Optional<EnginePlacement> findPlacement() {
        Duration now = context.now();
        Duration within = queueDeadlines.onTimeUntil().minus(now);
        boolean onTime = within.isPositive();
        if (!onTime) {
            within = Duration.ofNanos((long) (scope.route().latencyTarget().toNanos() * LATE_REQUEST_TARGET_SHARE));
        }
        EnginePlacement placement = context.engineBalancer()
                .choose(
                        servers(),
                        spec,
                        scope.caller().tokens(),
                        excludedServers,
                        new PlacementTarget(within, scope.route().gapTarget(), onTime),
                        now);
        return placement instanceof EnginePlacement.NoCapacity ? Optional.empty() : Optional.of(placement);
    }

    /** Starts to serve the request at the servers of a placement. */
    void place(EnginePlacement placement) {
        switch (placement) {
            case EnginePlacement.Split split -> {
                scope.logPlaced(
                        List.of(split.prefill(), split.decode()),
                        Field.of("prefill", split.prefill().id()),
                        Field.of("server", split.decode().id()),
                        Field.of("first_token_ms", split.firstToken()),
                        Field.of(
                                "prefill_load",
                                context.loads().total(split.prefill().id()).prefillTokens()),
                        Field.of(
                                "server_kv",
                                context.loads().total(split.decode().id()).kvTokens()));
                decode = newDecode(split.decode(), split.firstToken());
                prefill = new PrefillStep(
                        context, this, context.calls().acquire(split.prefill(), CallKind.PREFILL), split.firstToken());
                if (spec.reservationTtl().isPositive() && !isLimited(split.decode())) {
                    reservation = new ReservationStep(context, this, split.decode(), split.firstToken());
                    reservation.start();
                } else {
                    prefill.start();
                }
            }
            case EnginePlacement.Direct direct -> {
                scope.logPlaced(
                        List.of(direct.decode()),
                        Field.of("server", direct.decode().id()),
                        Field.of("first_token_ms", direct.firstToken()),
                        Field.of(
                                "server_kv",
                                context.loads().total(direct.decode().id()).kvTokens()));
                decode = newDecode(direct.decode(), direct.firstToken());
                decode.start(new AttemptWork.FullRequest());
            }
            case EnginePlacement.NoCapacity none ->
                throw new IllegalArgumentException("placement without a server: " + none);
        }
    }

    /** The permit is taken now, so that no prefill is wasted on a decode server that has reached its limit by then. */
    private DecodeStep newDecode(ServerEntry server, Duration firstToken) {
        return new DecodeStep(context, this, context.calls().acquire(server, CallKind.DECODE), firstToken);
    }

    /** A reservation would use up a permit; without one, the server may reject the decode instead. */
    private boolean isLimited(ServerEntry server) {
        return context.limiter().limit(ServerRun.of(server)).isPresent();
    }

    /** Gives the request up because its maximum queueing time has passed. */
    void waitTimedOut() {
        giveUp(
                RefusalReason.TARGET_UNREACHABLE,
                "no backend server had capacity within the maximum queueing time; retry later");
    }

    /** Starts the prefill after the decode server granted the reservation or turned out not to support reservations. */
    void reservationAccepted() {
        if (refuseIfQuarantined()) {
            return;
        }
        if (context.calls().isPaused(prefill.server())) {
            releaseReservation();
            reservationRejected();
        } else {
            prefill.start();
        }
    }

    /** Places the request anew after the decode server rejected the reservation; nothing has been executed yet. */
    void reservationRejected() {
        reservation = null;
        prefill.abandon();
        prefill = null;
        decode.release();
        decode = null;
        placeOrEnqueue();
    }

    /** Places the request anew, at another decode server, after a reservation call failed. */
    void reservationFailed(ServerEntry server) {
        excludedServers.add(server.id());
        reservationRejected();
    }

    /** Starts the decode after the prefill is complete. */
    void prefillCompleted() {
        if (refuseIfQuarantined()) {
            return;
        }
        if (context.calls().isPaused(decode.server())) {
            decodeWithheld();
            return;
        }
        Optional<String> reserved = reservation == null ? Optional.empty() : reservation.use();
        decode.start(prefill.decodeWork(reserved));
    }

    /** Decodes at another server, since the one that was chosen has asked for a pause during the prefill. */
    private void decodeWithheld() {
        ServerEntry server = decode.server();
        String detail = "the server has asked for a pause";
        releaseReservation();
        decode.release();
        decode = null;
        if (!decodeOnAnotherServer(server, detail)) {
            prefill.abandon();
            prefill = null;
            retryOrGiveUp(server, Verdict.NOT_RUN, detail);
        }
    }

    /** Retries the request after its prefill failed; the decode server has not executed anything. */
    void prefillFailed(ServerEntry server, String detail) {
        excludedServers.add(server.id());
        releaseReservation();
        decode.release();
        prefill = null;
        decode = null;
        retryOrGiveUp(server, Verdict.NOT_RUN, detail);
    }

    /** Retries the request after the decode server rejected it or failed before the end of the stream. */
    void decodeFailed(ServerEntry server, Verdict verdict, boolean cacheLost, String detail) {
        scope.recordOutcome(verdict);
        decode = null;
        if (cacheLost && decodeOnAnotherServer(server, detail)) {
            return;
        }
        releasePrefill();
        if (cacheLost) {
            context.serverHealth().recordAnswer(prefill.server(), true, Duration.ZERO, context.now());
            excludedServers.add(prefill.server().id());
        } else {
            excludedServers.add(server.id());
        }
        retryOrGiveUp(server, verdict, detail);
    }

    /** Lets another decode server import the KV cache; false if the cache, a server or the retry budget is missing. */
    private boolean decodeOnAnotherServer(ServerEntry rejectingServer, String detail) {
        if (ended
                || !prefill.isCacheAvailable()
                || scope.sends() >= RetryDecision.MAX_SENDS
                || context.crashGuard().find(scope.identity()).isPresent()) {
            return false;
        }
        Set<ServerId> others = new HashSet<>(excludedServers);
        others.add(rejectingServer.id());
        Optional<ServerEntry> other = context.engineBalancer()
                .chooseDecode(servers(), spec, scope.caller().tokens(), others, context.now());
        if (other.isEmpty()
                || !context.retryBudget().tryRetry(scope.service(), context.instanceCount(), context.now())) {
            return false;
        }
        scope.logAttemptFailed(
                rejectingServer.id(),
                detail,
                Field.of("repeated", true),
                Field.of("next", other.get().id()));
        decode = newDecode(other.get(), CACHE_IMPORT_TIME);
        decode.start(prefill.decodeWork(Optional.empty()));
        return true;
    }

    private void retryOrGiveUp(ServerEntry server, Verdict verdict, String detail) {
        boolean retrying = !ended && acquireRetry(verdict);
        scope.logAttemptFailed(
                server.id(),
                detail,
                Field.of("repeated", retrying),
                Field.of("delivered", responseStarted()),
                Field.of("parts", scope.caller().sharedParts()));
        if (retrying) {
            placeOrEnqueue();
        } else if (!refuseIfQuarantined()) {
            giveUp(RefusalReason.SERVER_FAILED, "the backend server failed and the request could not be retried");
        }
    }

    /** Returns whether the request may be retried, and takes one retry from the budget if so. */
    private boolean acquireRetry(Verdict verdict) {
        if (context.crashGuard().find(scope.identity()).isPresent()
                || context.crashGuard().implicates(scope.identity())
                || responseStarted() && (scope.route().repeat() != RetryPolicy.RESUMABLE || !position.canResume())) {
            return false;
        }
        return RetryDecision.mayRetry(
                        scope.route().repeat(),
                        verdict,
                        scope.runs(),
                        scope.sends(),
                        scope.route().maxAttempts())
                && context.retryBudget().tryRetry(scope.service(), context.instanceCount(), context.now());
    }

    /** Forwards the status and headers of the first server; those of a server that resumes the stream are dropped. */
    void startResponse(HttpResponse head) {
        if (!responseStarted()) {
            firstHead = head;
            scope.exchange()
                    .startResponse(
                            HttpResponseStatus.valueOf(head.status().code()),
                            ForwardHeaders.ofResponse(head.headers(), context.dialect()));
        }
    }

    /** Forwards an event to the caller. */
    void forwardEvent(EventBuffer.Event event) {
        if (!event.separator()) {
            position.recordDelivered(event.id());
            eventsDelivered++;
        }
        scope.exchange().write(Unpooled.wrappedBuffer(event.bytes()));
    }

    /** Completes the response after the last event. */
    void completed(ServerEntry server, int status) {
        releasePrefill();
        end();
        queue.retryAfterPolicy().recordServed(context.now());
        scope.exchange().finish();
        scope.logAnswered(
                server.id(),
                status,
                Field.of("events", eventsDelivered),
                Field.of("prompt_tokens", scope.caller().tokens().prompt()),
                Field.of("max_output", scope.caller().tokens().maxOutput()));
    }

    /** Forwards a server's error response to the caller as the final response. */
    void forwardFailure(ServerEntry server, int status, HttpHeaders headers, byte[] body) {
        releasePrefill();
        end();
        scope.exchange().respond(HttpResponseStatus.valueOf(status), headers, Unpooled.wrappedBuffer(body));
        scope.logAnswered(server.id(), status);
    }

    /** Releases the load of the prefill server after the decode server has imported the KV cache. */
    void cacheImported() {
        releasePrefill();
    }

    /** Places waiting requests after a server has finished part of this one. */
    void capacityFreed() {
        queue.placeWaitingRequests();
    }

    private void releasePrefill() {
        if (prefill != null) {
            prefill.release();
        }
    }

    private void callerDisconnected() {
        scope.log(
                LogEvent.CALLER_GONE,
                Field.of("delivered", responseStarted()),
                Field.of("last_event", position.lastId()));
        context.metrics().count("callers.gone");
        abandon();
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        if (decode != null) {
            scope.recordOutcome(decode.verdict());
        }
        abandon();
        giveUp(RefusalReason.DEADLINE, "no response before the deadline of the request");
    }

    private void abandon() {
        end();
        queue.remove(scope.service(), this);
        if (prefill != null) {
            prefill.abandon();
        }
        releaseReservation();
        if (decode != null) {
            decode.abandon();
        }
    }

    private void releaseReservation() {
        if (reservation != null) {
            reservation.abandon();
            reservation = null;
        }
    }

    /** Ends a request that cannot be served: refuses it, or cuts its stream if the response has begun. */
    private void giveUp(RefusalReason reason, String detail) {
        end();
        if (responseStarted()) {
            cutStream(detail);
            return;
        }
        Duration after = queue.retryAfterPolicy().recordRefused(scope.remainingTime(), context.random(), context.now());
        scope.refuse(reason, detail, Optional.of(after), Field.of("waiting", queue.size(scope.service())));
    }

    private void cutStream(String cause) {
        scope.log(LogEvent.STREAM_CUT, Field.of("cause", cause), Field.of("last_event", position.lastId()));
        context.metrics().count("streams.cut");
        scope.exchange().abort();
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel(false);
    }
}
