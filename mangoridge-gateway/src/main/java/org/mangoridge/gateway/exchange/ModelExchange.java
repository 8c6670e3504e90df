package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.gateway.balance.EnginePlacement;
import org.mangoridge.gateway.config.EngineSpec;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.request.AttemptWork;
import org.mangoridge.gateway.request.RetryPolicy;

/**
 * Serves one model request: finds room, has the prompt read, passes the tokens on, and goes on elsewhere if a server
 * fails and the stream may be resumed. Used on the event loop.
 */
final class ModelExchange {

    /** Late requests are placed only if their first token comes this soon, so that they delay none that is on time. */
    private static final double LATE_SHARE = 0.5;

    /** Expected time from the hand-over of KV cache to the first token. */
    private static final Duration HAND_OVER = Duration.ofMillis(100);

    private final GatewayContext context;
    private final RequestScope scope;
    private final EngineSpec spec;
    private final ModelQueue queue;
    private final ModelPatience patience;
    private final Set<ServerId> avoid = new HashSet<>();
    private PrefillStep prefill;
    private DecodeStep decode;
    private RoomStep room;
    private ScheduledFuture<?> deadlineTimer;
    private boolean begun;
    private boolean ended;
    private OptionalLong lastEvent;
    private int eventsDelivered;

    ModelExchange(GatewayContext context, RequestScope scope, EngineSpec spec, ModelQueue queue) {
        this.context = context;
        this.scope = scope;
        this.spec = spec;
        this.queue = queue;
        this.patience = ModelPatience.of(scope.route(), scope.arrived(), scope.deadline());
        this.lastEvent = scope.caller().resumeAfter();
    }

    void start() {
        scope.exchange().onDisconnect(this::callerGone);
        scope.exchange().onWritabilityChange(on -> {
            if (decode != null) {
                decode.reading(on);
            }
        });
        deadlineTimer = context.after(scope.left(), this::deadlinePassed);
        placeOrWait();
    }

    RequestScope scope() {
        return scope;
    }

    EngineSpec spec() {
        return spec;
    }

    OptionalLong lastEvent() {
        return lastEvent;
    }

    boolean ended() {
        return ended;
    }

    boolean begun() {
        return begun;
    }

    private void placeOrWait() {
        Optional<EnginePlacement> placement = placementNow();
        if (placement.isPresent()) {
            place(placement.get());
        } else if (servers().isEmpty()) {
            giveUp(RefusalReason.NO_SERVER, "no server of the service is known");
        } else if (!queue.offer(scope.service(), this, scope.route(), patience)) {
            giveUp(RefusalReason.NO_CAPACITY, "too many requests wait for the service");
        } else {
            scope.log(
                    LogEvent.REQUEST_WAITING,
                    Field.of("waiting", queue.size(scope.service())),
                    Field.of("prompt_tokens", scope.caller().tokens().prompt()),
                    Field.of("until_ms", patience.giveUpAt().minus(context.now())));
        }
    }

    private List<ServerEntry> servers() {
        return context.directory().usable(scope.service());
    }

    /** Returns where the request can go now; empty if it has to wait. */
    Optional<EnginePlacement> placementNow() {
        Duration now = context.now();
        Duration within = patience.onTimeUntil().minus(now);
        if (!within.isPositive()) {
            within = Duration.ofNanos((long) (scope.route().latencyTarget().toNanos() * LATE_SHARE));
        }
        EnginePlacement placement = context.engines()
                .choose(
                        servers(),
                        spec,
                        scope.caller().tokens(),
                        avoid,
                        within,
                        scope.route().gapTarget(),
                        now);
        return placement instanceof EnginePlacement.NoCapacity ? Optional.empty() : Optional.of(placement);
    }

    /** Starts to serve the request at the servers that were found for it. */
    void place(EnginePlacement placement) {
        switch (placement) {
            case EnginePlacement.Split split -> {
                scope.log(
                        LogEvent.REQUEST_PLACED,
                        Field.of("prefill", split.prefill().id()),
                        Field.of("server", split.decode().id()),
                        Field.of("first_token_ms", split.firstToken()),
                        Field.of(
                                "prefill_load",
                                context.loads().total(split.prefill().id()).prefillTokens()),
                        Field.of(
                                "server_kv",
                                context.loads().total(split.decode().id()).kvTokens()));
                decode = new DecodeStep(context, this, split.decode(), split.firstToken());
                prefill = new PrefillStep(context, this, split.prefill(), split.firstToken());
                if (spec.reservationTtl().isPositive()) {
                    room = new RoomStep(context, this, split.decode(), split.firstToken());
                    room.start();
                } else {
                    prefill.start();
                }
            }
            case EnginePlacement.Direct direct -> {
                scope.log(
                        LogEvent.REQUEST_PLACED,
                        Field.of("server", direct.decode().id()),
                        Field.of("first_token_ms", direct.firstToken()),
                        Field.of(
                                "server_kv",
                                context.loads().total(direct.decode().id()).kvTokens()));
                decode = new DecodeStep(context, this, direct.decode(), direct.firstToken());
                decode.start(new AttemptWork.FullRequest());
            }
            case EnginePlacement.NoCapacity none -> throw new IllegalArgumentException("no room: " + none);
        }
    }

    void waitedInVain() {
        giveUp(RefusalReason.TARGET_UNREACHABLE, "no server had room in time");
    }

    /** The decode server keeps room, or does not know how to; the prompt can be read. */
    void roomKept() {
        prefill.start();
    }

    /** The decode server keeps no room; nothing was sent that a repeat would send again. */
    void roomRefused() {
        room = null;
        prefill.abandon();
        prefill = null;
        decode.release();
        decode = null;
        placeOrWait();
    }

    /** The decode server did not say whether it keeps room. */
    void roomUnknown(ServerEntry server) {
        avoid.add(server.id());
        roomRefused();
    }

    /** The prompt is read; the decode server takes its KV cache over. */
    void prefilled() {
        Optional<String> kept = room == null ? Optional.empty() : room.use();
        decode.start(prefill.cache(kept));
    }

    /** The prompt was not read; nothing ran. */
    void prefillFailed(ServerEntry server, String detail) {
        avoid.add(server.id());
        returnRoom();
        decode.release();
        prefill = null;
        decode = null;
        againOrGiveUp(server, Verdict.NOT_RUN, detail);
    }

    /** The decode server did not run the request, or did not come to its end. */
    void decodeFailed(ServerEntry server, Verdict reached, boolean cacheLost, String detail) {
        scope.serverEnded(reached);
        decode = null;
        if (cacheLost && handOverElsewhere(server, detail)) {
            return;
        }
        releasePrefill();
        if (cacheLost) {
            context.tracks().recordAnswer(prefill.server().id(), true, Duration.ZERO, context.now());
            avoid.add(prefill.server().id());
        } else {
            avoid.add(server.id());
        }
        againOrGiveUp(server, reached, detail);
    }

    /** Lets another decode server take the KV cache over, as long as the prefill server keeps it. */
    private boolean handOverElsewhere(ServerEntry rejecting, String detail) {
        if (ended || !prefill.keepsCache() || scope.sends() >= RepeatDecision.MAX_SENDS) {
            return false;
        }
        Set<ServerId> others = new HashSet<>(avoid);
        others.add(rejecting.id());
        Optional<ServerEntry> other =
                context.engines().chooseDecode(servers(), spec, scope.caller().tokens(), others, context.now());
        if (other.isEmpty() || !context.budget().tryRetry(scope.service(), context.instances(), context.now())) {
            return false;
        }
        scope.logAttemptFailed(
                rejecting.id(),
                detail,
                Field.of("repeated", true),
                Field.of("next", other.get().id()));
        decode = new DecodeStep(context, this, other.get(), HAND_OVER);
        decode.start(prefill.cache(Optional.empty()));
        return true;
    }

    private void againOrGiveUp(ServerEntry server, Verdict reached, String detail) {
        boolean again = !ended && mayGoOn(reached);
        scope.logAttemptFailed(server.id(), detail, Field.of("repeated", again), Field.of("delivered", begun));
        if (again) {
            placeOrWait();
        } else if (begun) {
            end();
            scope.log(LogEvent.STREAM_CUT, Field.of("server", server.id()), Field.of("last_event", lastEvent));
            context.metrics().count("streams.cut");
            scope.exchange().abort();
        } else {
            giveUp(RefusalReason.SERVER_FAILED, "the server did not serve the request");
        }
    }

    private boolean mayGoOn(Verdict reached) {
        if (begun && scope.route().repeat() != RetryPolicy.RESUMABLE) {
            return false;
        }
        return RepeatDecision.maySendAgain(
                        scope.route().repeat(),
                        reached,
                        scope.runs(),
                        scope.sends(),
                        scope.route().maxAttempts())
                && context.budget().tryRetry(scope.service(), context.instances(), context.now());
    }

    /** The first server's head is passed on; that of a server that goes on with the stream is not. */
    void begin(int status, HttpHeaders headers) {
        if (!begun) {
            begun = true;
            scope.exchange().startResponse(HttpResponseStatus.valueOf(status), headers);
        }
    }

    /** Passes an event on. */
    void event(EventBuffer.Event event) {
        if (event.id().isPresent()) {
            lastEvent = event.id();
        }
        eventsDelivered++;
        scope.exchange().write(Unpooled.wrappedBuffer(event.bytes()));
    }

    /** The stream is complete. */
    void completed(ServerEntry server, int status) {
        releasePrefill();
        end();
        queue.returnTimes().recordServed(context.now());
        scope.exchange().finish();
        scope.logAnswered(
                server.id(),
                status,
                Field.of("events", eventsDelivered),
                Field.of("prompt_tokens", scope.caller().tokens().prompt()),
                Field.of("max_output", scope.caller().tokens().maxOutput()));
    }

    /** A server's own failure is the answer. */
    void answered(ServerEntry server, int status, HttpHeaders headers, byte[] body) {
        releasePrefill();
        end();
        scope.exchange().respond(HttpResponseStatus.valueOf(status), headers, Unpooled.wrappedBuffer(body));
        scope.logAnswered(server.id(), status);
    }

    /** The decode server has the KV cache; the prefill server holds nothing any more. */
    void cacheTaken() {
        releasePrefill();
    }

    void roomCame() {
        queue.placeWaitingRequests();
    }

    private void releasePrefill() {
        if (prefill != null) {
            prefill.release();
        }
    }

    private void callerGone() {
        scope.log(LogEvent.CALLER_GONE, Field.of("delivered", begun), Field.of("last_event", lastEvent));
        context.metrics().count("callers.gone");
        abandon();
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        if (decode != null) {
            scope.serverEnded(decode.reached());
        }
        abandon();
        if (begun) {
            scope.log(LogEvent.STREAM_CUT, Field.of("cause", "deadline"), Field.of("last_event", lastEvent));
            scope.exchange().abort();
        } else {
            giveUp(RefusalReason.DEADLINE, "no answer in time");
        }
    }

    private void abandon() {
        end();
        queue.remove(scope.service(), this);
        if (prefill != null) {
            prefill.abandon();
        }
        returnRoom();
        if (decode != null) {
            decode.abandon();
        }
    }

    private void returnRoom() {
        if (room != null) {
            room.abandon();
            room = null;
        }
    }

    private void giveUp(RefusalReason reason, String detail) {
        end();
        Duration after = queue.returnTimes().recordRefused(scope.left(), context.random(), context.now());
        scope.refuse(reason, detail, Optional.of(after), Field.of("waiting", queue.size(scope.service())));
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel(false);
    }
}
