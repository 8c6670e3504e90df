package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.dispatch.balance.EnginePlacement;
import org.mangoridge.dispatch.balance.QueueDeadlines;
import org.mangoridge.dispatch.balance.ReservationTurn;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.request.AttemptWork;
import org.mangoridge.dispatch.request.RequestPart;
import org.mangoridge.dispatch.request.RetryDecision;
import org.mangoridge.dispatch.request.RetryPolicy;

/**
 * Serves one model request: places it, runs prefill and decode, and forwards the events to the caller.
 *
 * <p>If a server fails, the request is retried at another one, and a resumable stream continues after the last
 * delivered event. Used on the event loop.
 */
final class ModelExchange {

    /** Expected time from the start of a KV cache import to the first token. */
    private static final Duration CACHE_IMPORT_TIME = Duration.ofMillis(100);

    private final GatewayContext context;
    private final RequestScope scope;
    private final EngineSpec spec;
    private final ModelQueue queue;
    private final QueueDeadlines queueDeadlines;
    private final PlacementFinder placements;
    private final ReservationTurn turn;
    private PrefillStep prefill;
    private DecodeStep decode;
    /** The run of a silent server, which goes on until the first event of {@link #decode}; null if there is none. */
    private DecodeStep silent;

    private ReservationStep reservation;
    private ScheduledFuture<?> deadlineTimer;
    private final StreamResponse response;
    private boolean ended;

    ModelExchange(GatewayContext context, RequestScope scope, EngineSpec spec, ModelQueue queue) {
        this.context = context;
        this.scope = scope;
        this.spec = spec;
        this.queue = queue;
        this.queueDeadlines = QueueDeadlines.of(scope.route(), scope.arrived(), scope.deadline());
        this.placements = new PlacementFinder(context, scope, spec, queueDeadlines);
        this.turn = ReservationTurn.of(queue.reservationPace(scope.service()), queueDeadlines);
        this.response = new StreamResponse(context, scope);
    }

    void start() {
        RequestGuard guard = scope.guard();
        guard.onFailure(this::abandon);
        scope.exchange().onDisconnect(guard.guarded(this::callerDisconnected));
        scope.exchange().onInstanceStop(guard.guarded(this::instanceStops));
        scope.exchange().onWritabilityChange(guard.guarded(this::setReading));
        deadlineTimer = guard.schedule(scope.remainingTime(), this::deadlinePassed);
        guard.run(this::placeOrEnqueue);
    }

    private void setReading(boolean on) {
        if (decode != null) {
            decode.setReading(on);
        }
        if (silent != null) {
            silent.setReading(on);
        }
    }

    RequestScope scope() {
        return scope;
    }

    EngineSpec spec() {
        return spec;
    }

    ReservationTurn turn() {
        return turn;
    }

    StreamResponse response() {
        return response;
    }

    boolean ended() {
        return ended;
    }

    private void placeOrEnqueue() {
        if (refuseIfQuarantined() || refuseIfAllPaused() || refuseIfTooLate()) {
            return;
        }
        if (scope.caller().tokens().prompt() >= spec.kvCapacity()) {
            giveUp(RefusalReason.NO_CAPACITY, "the prompt is larger than the KV cache of a backend server");
            return;
        }
        Optional<EnginePlacement> placement = queue.isFull(scope.service()) ? placements.find() : findPlacement();
        if (placement.isPresent()) {
            place(placement.get());
        } else if (placements.servers().isEmpty()) {
            giveUp(RefusalReason.NO_SERVER, "the service has no usable backend server; retry later");
        } else if (!queue.offer(scope.service(), this, scope.route(), queueDeadlines)) {
            giveUp(RefusalReason.NO_CAPACITY, "the queue of the service is full; retry later");
        } else {
            scope.log(
                    LogEvent.REQUEST_WAITING,
                    Field.of("waiting", queue.size(scope.service())),
                    Field.of("prompt_tokens", scope.caller().tokens().prompt()),
                    Field.of(
                            "turn_interval_ms",
                            queue.reservationPace(scope.service()).interval()),
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
        if (response.started()) {
            response.cut("a part of the prompt is quarantined");
        } else {
            scope.refuseQuarantined(part.get());
        }
        return true;
    }

    /** Refuses the request if no server that could decode it takes anything now; returns whether it was refused. */
    boolean refuseIfAllPaused() {
        Optional<Duration> pauseEnd = placements.firstPauseEnd();
        if (pauseEnd.isEmpty() || response.started()) {
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

    /** Refuses the request if the instance shuts down before it would end; returns whether it was refused. */
    boolean refuseIfTooLate() {
        boolean late = !response.started() && scope.isTooLate();
        if (late) {
            abandon();
            scope.refuseDraining();
        }
        return late;
    }

    /** Leaves the request to the run of a silent server, or refuses it, if its stream would outlast the instance. */
    private boolean endIfTooLateToBegin() {
        boolean late = !response.started() && scope.isTooLateToBegin();
        if (late && !goOnWithSilent()) {
            abandon();
            scope.refuseDraining();
        }
        return late;
    }

    private void instanceStops() {
        if (decode != null) {
            decode.recordOutcome(decode.verdict());
        }
        abandon();
        if (response.started()) {
            response.cut("the instance shuts down");
        } else {
            scope.refuseDraining();
        }
    }

    /**
     * Returns the servers to which the request can be sent now; empty if it has to wait, for capacity or for its turn. A
     * stream that has begun takes no turns, since its caller waits for the next event.
     */
    Optional<EnginePlacement> findPlacement() {
        return response.started() || turn.isDue(context.now()) ? placements.find() : Optional.empty();
    }

    /** Starts to serve the request at the servers of a placement. */
    void place(EnginePlacement placement) {
        switch (placement) {
            case EnginePlacement.Split split -> {
                scope.logPlaced(split);
                decode = newDecode(split.decode(), split.firstToken());
                prefill = new PrefillStep(
                        context, this, context.calls().acquire(split.prefill(), CallKind.PREFILL), split.firstToken());
                // A reservation would use up a permit; without one, the server may reject the decode instead.
                if (spec.reservationTtl().isPositive() && !placements.isLimited(split.decode())) {
                    reservation = new ReservationStep(context, this, split.decode(), split.firstToken());
                    turn.recordRequest(context.now());
                    context.metrics().count("reservations.requested");
                    reservation.start();
                } else {
                    prefill.start();
                }
            }
            case EnginePlacement.Direct direct -> {
                scope.logPlaced(direct);
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
        boolean prefillPaused = context.calls().isPaused(prefill.server());
        if (prefillPaused || !placements.isUsable(prefill.server()) || !placements.isUsable(decode.server())) {
            releaseReservation();
            reservationRejected();
        } else {
            prefill.start();
        }
    }

    /** Places the request anew after the decode server rejected the reservation; nothing has been executed yet. */
    void reservationRejected() {
        reservation = null;
        if (goOnWithSilent()) {
            return;
        }
        prefill.abandon();
        prefill = null;
        decode.release();
        decode = null;
        placeOrEnqueue();
    }

    /** Places the request anew, at another decode server, after a reservation call failed. */
    void reservationFailed(ServerEntry server) {
        placements.exclude(server);
        reservationRejected();
    }

    /** Starts the decode after the prefill is complete. */
    void prefillCompleted() {
        if (refuseIfQuarantined() || endIfTooLateToBegin()) {
            return;
        }
        if (context.calls().isPaused(decode.server())) {
            decodeWithheld("the server has asked for a pause");
            return;
        }
        if (!placements.isUsable(decode.server())) {
            decodeWithheld("the server has left during the prefill");
            return;
        }
        Optional<String> reserved = reservation == null ? Optional.empty() : reservation.use();
        decode.start(prefill.decodeWork(reserved));
    }

    /** Decodes at another server, since the one that was chosen takes no requests any more since the prefill. */
    private void decodeWithheld(String detail) {
        ServerEntry server = decode.server();
        if (leaveToSilent(server, detail)) {
            return;
        }
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
        placements.exclude(server);
        prefill = null;
        if (leaveToSilent(server, detail)) {
            return;
        }
        releaseReservation();
        decode.release();
        decode = null;
        retryOrGiveUp(server, Verdict.NOT_RUN, detail);
    }

    /** Retries the request after the decode server rejected it or failed before the end of the stream. */
    void decodeFailed(DecodeStep failed, Verdict verdict, boolean cacheLost, String detail) {
        ServerEntry server = failed.server();
        failed.recordOutcome(verdict);
        if (silent != null) {
            placements.exclude(server);
            if (failed == silent) {
                logAttemptFailed(server, detail, false);
                silent = null;
            } else {
                leaveToSilent(server, detail);
            }
            return;
        }
        decode = null;
        // The prefill of a server that was silent for a while may have been replaced and released since.
        boolean mayDecodeElsewhere = cacheLost && prefill != null;
        if (mayDecodeElsewhere && decodeOnAnotherServer(server, detail)) {
            return;
        }
        releasePrefill();
        if (mayDecodeElsewhere) {
            context.serverHealth().recordAnswer(prefill.server(), true, Duration.ZERO, context.now());
            placements.exclude(prefill.server());
        } else {
            placements.exclude(server);
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
        Optional<ServerEntry> other = placements.findDecodeOtherThan(rejectingServer);
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

    /**
     * Sends the request to another server beside one that is silent, if that is allowed and there is room now. The run of
     * the silent one stays until the other has begun to answer.
     */
    void serverSilent(DecodeStep step) {
        boolean mayRepeat = !ended
                && step == decode
                && silent == null
                && step.verdict() != Verdict.NOT_RUN
                && scope.route().repeat() == RetryPolicy.RESUMABLE;
        if (!mayRepeat) {
            return;
        }
        step.recordOutcome(step.verdict());
        placements.exclude(step.server());
        Optional<EnginePlacement> placement = mayRetry(step.verdict()) ? placements.find() : Optional.empty();
        boolean repeated = placement.isPresent()
                && context.retryBudget().tryRetry(scope.service(), context.instanceCount(), context.now());
        logAttemptFailed(step.server(), "silent; its run stays until another server answers", repeated);
        if (repeated) {
            silent = step;
            // The silent server may still import the KV cache.
            releasePrefill();
            prefill = null;
            reservation = null;
            place(placement.get());
        }
    }

    /** Ends the other run if two servers work on the request; called when one of them begins to answer or goes on. */
    void answeredBy(DecodeStep step) {
        if (step == silent) {
            goOnWithSilent();
        } else if (silent != null) {
            silent.abandon();
            silent = null;
        }
    }

    /** Ends the run beside that of a silent server; returns false if there is no silent one. */
    private boolean goOnWithSilent() {
        if (silent == null) {
            return false;
        }
        dropPrefill();
        decode.recordOutcome(decode.verdict());
        decode.abandon();
        decode = silent;
        silent = null;
        return true;
    }

    private boolean leaveToSilent(ServerEntry failed, String detail) {
        if (silent != null) {
            logAttemptFailed(failed, detail, false);
        }
        return goOnWithSilent();
    }

    private void dropPrefill() {
        if (prefill != null) {
            prefill.abandon();
            prefill = null;
        }
        releaseReservation();
    }

    private void logAttemptFailed(ServerEntry server, String detail, boolean repeated) {
        scope.logAttemptFailed(
                server.id(),
                detail,
                Field.of("repeated", repeated),
                Field.of("delivered", response.started()),
                Field.of("parts", scope.caller().sharedParts()));
    }

    private void retryOrGiveUp(ServerEntry server, Verdict verdict, String detail) {
        boolean retrying = !ended && acquireRetry(verdict);
        logAttemptFailed(server, detail, retrying);
        if (retrying) {
            placeOrEnqueue();
        } else if (!refuseIfQuarantined()) {
            giveUp(RefusalReason.SERVER_FAILED, "the backend server failed and the request could not be retried");
        }
    }

    /** Returns whether the request may be retried, and takes one retry from the budget if so. */
    private boolean acquireRetry(Verdict verdict) {
        return mayRetry(verdict)
                && context.retryBudget().tryRetry(scope.service(), context.instanceCount(), context.now());
    }

    private boolean mayRetry(Verdict verdict) {
        if (context.crashGuard().find(scope.identity()).isPresent()
                || context.crashGuard().implicates(scope.identity())
                || response.started()
                        && (scope.route().repeat() != RetryPolicy.RESUMABLE
                                || !response.position().canResume())) {
            return false;
        }
        return RetryDecision.mayRetry(
                scope.route().repeat(),
                verdict,
                scope.runs(),
                scope.sends(),
                scope.route().maxAttempts());
    }

    /** Completes the response after the last event. */
    void completed(ServerEntry server, int status) {
        releasePrefill();
        end();
        queue.retryAfterPolicy().recordServed(context.now());
        response.finish(server, status);
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
                Field.of("delivered", response.started()),
                Field.of("last_event", response.position().lastId()));
        context.metrics().count("callers.gone");
        abandon();
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        if (decode != null) {
            decode.recordOutcome(decode.verdict());
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
        if (silent != null) {
            silent.abandon();
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
        if (response.started()) {
            response.cut(detail);
            return;
        }
        Duration after = queue.retryAfterPolicy().recordRefused(scope.remainingTime(), context.random(), context.now());
        scope.refuse(reason, detail, Optional.of(after), Field.of("waiting", queue.size(scope.service())));
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel(false);
    }
}
