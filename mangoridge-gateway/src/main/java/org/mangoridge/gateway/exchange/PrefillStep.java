package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.dispatch.balance.PrefillTimeEstimator;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.request.Attempt;
import org.mangoridge.dispatch.request.AttemptWork;
import org.mangoridge.dispatch.request.PrefillResponse;
import org.mangoridge.dispatch.request.ServerReply;
import org.mangoridge.gateway.net.AnswerBuffer;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;

/** Runs the prefill of a request at a prefill server and keeps track of the resulting KV cache. */
final class PrefillStep implements CallListener {

    /** A prefill times out after this multiple of the expected time to first token, plus {@link #TIMEOUT_MARGIN}. */
    private static final int TIMEOUT_FACTOR = 3;

    private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(400);
    /** Time until a decode server starts to import the KV cache; a cache that expires earlier is useless. */
    private static final Duration IMPORT_START_TIME = Duration.ofMillis(60);

    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    private final GatewayContext context;
    private final ModelExchange exchange;
    private final ServerEntry server;
    private final SendPermit permit;
    private final Duration expectedFirstToken;
    private final double expectedMillis;
    private final ServerLoad load;
    private final ServerLoad cacheLoad;
    private Duration started;
    private UpstreamCall call;
    private ScheduledFuture<?> timeoutTimer;
    private ServerReply reply;
    private final AnswerBuffer body;
    private String handle;
    private Duration completedAt;
    private boolean prefilling = true;
    private boolean holdsCache = true;

    PrefillStep(GatewayContext context, ModelExchange exchange, SendPermit permit, Duration expectedFirstToken) {
        this.context = context;
        this.exchange = exchange;
        this.server = permit.server();
        this.permit = permit;
        this.expectedFirstToken = expectedFirstToken;
        int prompt = exchange.scope().caller().tokens().prompt();
        long ahead = context.loads().total(server.id()).prefillTokens();
        this.expectedMillis = PrefillTimeEstimator.nominalPrefillMillis(ahead + prompt);
        this.load = new ServerLoad(1, prompt, prompt, 0);
        this.cacheLoad = new ServerLoad(0, 0, prompt, 0);
        this.body = AnswerBuffer.open(
                context.buffers(),
                server.address(),
                MAX_RESPONSE_BYTES,
                exchange.scope().guard().guarded(this::bodyLost));
    }

    ServerEntry server() {
        return server;
    }

    void start() {
        RequestScope scope = exchange.scope();
        context.loads().add(server.id(), load);
        context.serverHealth().recordSent(server, context.now());
        started = context.now();
        Attempt attempt = new Attempt(
                scope.caller(),
                scope.access(),
                server.id(),
                scope.remainingTime(),
                new AttemptWork.Prefill(),
                OptionalLong.empty());
        timeoutTimer = exchange.scope()
                .guard()
                .schedule(expectedFirstToken.multipliedBy(TIMEOUT_FACTOR).plus(TIMEOUT_MARGIN), this::onTimeout);
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

    private void onTimeout() {
        if (prefilling) {
            call.cancel();
            failed(new CallFailure(call.progress(), true, "prefill timed out"));
        }
    }

    /** Returns whether the server still retains the KV cache long enough for a decode server to import it. */
    boolean isCacheAvailable() {
        Duration age = context.now().minus(completedAt);
        return holdsCache
                && age.plus(IMPORT_START_TIME).compareTo(exchange.spec().kvHandleTtl()) < 0;
    }

    /**
     * Returns the work of a decode server that imports the KV cache.
     *
     * @param reservation the id of that server's reservation for the request; empty if there is none
     */
    AttemptWork.Decode decodeWork(Optional<String> reservation) {
        return new AttemptWork.Decode(server.address(), handle, reservation);
    }

    /** Cancels the prefill, or releases the KV cache at the server if the prefill is complete. */
    void abandon() {
        if (call == null) {
            prefilling = false;
            holdsCache = false;
            body.close();
            context.calls().giveBack(permit);
        } else if (prefilling) {
            call.cancel();
            finishPrefill();
            context.serverHealth().recordInconclusive(server.id());
            release();
        } else if (holdsCache) {
            release();
            releaseCache();
        }
    }

    /** Removes the load of the KV cache from the server; repeated calls have no effect. */
    void release() {
        if (holdsCache) {
            holdsCache = false;
            context.loads().subtract(server.id(), cacheLoad);
            exchange.capacityFreed();
        }
    }

    private void finishPrefill() {
        prefilling = false;
        timeoutTimer.cancel(false);
        context.loads().subtract(server.id(), load.minus(cacheLoad));
        body.close();
    }

    private void releaseCache() {
        context.metrics().count("prefills.unused");
        String path = context.dialect().cacheReleasePath(handle);
        ReleaseListener.release(
                context, server, path, "release KV cache", exchange.spec().kvHandleTtl());
    }

    @Override
    public void foreignAnswerDropped() {
        exchange.scope().log(LogEvent.STALE_ANSWER_DROPPED, Field.of("server", server.id()));
    }

    @Override
    public void head(HttpResponse head) {
        reply = context.dialect().readReply(head);
        exchange.scope().recordHead(reply);
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
        if (!prefilling || body.isEvicted()) {
            return;
        }
        Optional<PrefillResponse> response =
                reply.status() == 200 ? context.dialect().readPrefillResponse(body.bytes()) : Optional.empty();
        Duration took = context.now().minus(started);
        context.serverHealth().recordAnswer(server, response.isEmpty(), took, context.now());
        finishPrefill();
        if (response.isPresent()) {
            handle = response.get().handle();
            completedAt = context.now();
            context.prefillTimes().recordDuration(server.id(), expectedMillis, took, context.now());
            Duration expected = Duration.ofNanos((long) (expectedMillis * 1e6));
            context.serverHealth().recordWork(server, took, expected, context.now());
            exchange.scope()
                    .log(
                            LogEvent.PROMPT_READ,
                            Field.of("server", server.id()),
                            Field.of("tokens", response.get().tokens()),
                            Field.of("took_ms", took));
            exchange.prefillCompleted();
        } else {
            if (reply.isUnavailable()) {
                context.serverHealth().recordNoAnswer(server.id(), context.now());
            }
            release();
            if (reply.isFromOtherServer(server.id())) {
                context.directory().drop(server.id());
            }
            exchange.prefillFailed(server, "prefill answered " + reply.status());
        }
    }

    @Override
    public void broken(RuntimeException error) {
        exchange.scope().guard().fail(error);
    }

    @Override
    public void failed(CallFailure failure) {
        if (!prefilling) {
            return;
        }
        finishPrefill();
        context.serverHealth().recordNoAnswer(server.id(), context.now());
        if (failure.isUnreachable()) {
            context.serverHealth().recordUnreachable(server, context.now());
        }
        if (failure.progress() != AttemptProgress.BEFORE_CONNECT && !failure.timedOut()) {
            context.crashGuard().brokenOff(server, exchange.scope().identity());
        }
        release();
        exchange.prefillFailed(server, failure.detail());
    }
}
