package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.http.Json;
import org.mangoridge.standin.engine.HeldAttempts.Holder;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;
import org.mangoridge.web.WebServer;

/** Serves the engine protocol, and spends the time that the work would take; safe for use by several threads. */
public final class EngineStandIn implements AutoCloseable, WebHandler {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration EXPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int STALE_ORDER = 409;
    private static final int CANCELLED = 499;
    private static final String ATTEMPTS = "/v1/attempts/";
    private static final String EXPORTS = "/v1/exports/";
    private static final String FAULTS = "/faults";

    /**
     * The answer to an export.
     *
     * @param tokens the tokens of KV cache
     * @param computed how many of them were computed for it
     */
    record Exported(int tokens, int computed) {}

    private final EngineProfile profile;
    private final EngineMonitor engine;
    private final SilencedCalls silenced;
    private final HttpTransport transport = HttpTransport.create(CONNECT_TIMEOUT);
    private WebServer server;

    private EngineStandIn(EngineProfile profile, Clock clock) {
        this.profile = profile;
        this.engine = new EngineMonitor(new EngineCore(profile), clock);
        this.silenced = new SilencedCalls(engine);
    }

    /** Starts an engine that listens on {@code bind}. */
    public static EngineStandIn start(HostPort bind, EngineProfile profile, Clock clock) {
        EngineStandIn standIn = new EngineStandIn(profile, clock);
        standIn.server = WebServer.start(bind, MAX_BODY_BYTES, 1, standIn);
        return standIn;
    }

    /** Returns the address listened on. */
    public HostPort address() {
        return server.address();
    }

    /** Puts faults into force in place of those before. */
    public void injectFaults(EngineFaults faults) {
        if (faults.silent()) {
            silenced.silenceOpenCalls();
        }
        engine.apply((core, now) -> {
            core.faults(faults, now);
            return faults;
        });
    }

    /** For {@code time}, drops the calls of an entry instance and ends its streams, as if its process had died. */
    public void disconnect(InstanceId instance, Duration time) {
        engine.apply((core, now) -> {
            core.disconnect(instance.value(), now.plus(time));
            return instance;
        });
    }

    /** Returns the attempts of an entry instance that hold a slot, memory or a place in the prefill queue. */
    public Set<String> heldBy(InstanceId instance) {
        return engine.query((core, now) -> core.held(instance.value(), now)).stream()
                .map(EngineMessages.HeldAttempt::attempt)
                .collect(Collectors.toSet());
    }

    /** Returns what the engine truly did. */
    public EngineCounts counts() {
        return engine.query(EngineCore::counts);
    }

    /** Tells whether anything ran for the request with this id. */
    public boolean hasRun(String request) {
        return engine.query((core, now) -> core.hasRun(request));
    }

    /** Returns the tokens of all prompts that were prefilled. */
    public long prefillTokens() {
        return counts().prefillTokens();
    }

    /** Returns the tokens of prefill results that were never used. */
    public long wastedPrefillTokens() {
        return counts().wastedPrefillTokens();
    }

    /** Returns how many slots are held. */
    public int slotsUsed() {
        return engine.query(EngineCore::slotsUsed);
    }

    @Override
    public void close() {
        server.close();
        transport.close();
    }

    @Override
    public WebReply handle(WebRequest request) {
        if (request.is("POST", FAULTS)) {
            return withBody(request, EngineFaults.class, this::setFaults);
        }
        if (isDead()) {
            return new WebReply.Dropped();
        }
        Duration opened = engine.now();
        WebReply reply = answer(request);
        if (silenced.isSilent(opened)) {
            silenced.awaitDisconnect(request);
            return new WebReply.Dropped();
        }
        return isDead() ? new WebReply.Dropped() : reply;
    }

    private WebReply answer(WebRequest request) {
        return switch (request.method() + " " + request.path()) {
            case "POST /v1/reservations" -> withBody(request, EngineMessages.ReserveRequest.class, this::reserve);
            case "POST /v1/prefills" -> withBody(request, EngineMessages.PrefillRequest.class, this::prefill);
            case "POST /v1/imports" -> withBody(request, EngineMessages.ImportRequest.class, this::importKv);
            case "POST /v1/decodes" ->
                withBody(request, EngineMessages.DecodeRequest.class, message -> decode(message, request));
            case "POST /v1/orders" -> withBody(request, EngineMessages.OrderRequest.class, this::order);
            case "GET /v1/load" -> WebReply.json(200, engine.query(EngineCore::load));
            case "GET /v1/state" ->
                WebReply.json(200, engine.query((core, now) -> core.orders().state(now)));
            case "GET /v1/cache-events" -> cacheEvents(request);
            case "GET /v1/attempts" -> heldBy(request.queryValue("instance").orElse(""));
            case "GET /counts" -> WebReply.json(200, counts());
            default -> byPrefix(request);
        };
    }

    private WebReply byPrefix(WebRequest request) {
        if (request.method().equals("DELETE") && request.path().startsWith(ATTEMPTS)) {
            String attempt = request.path().substring(ATTEMPTS.length());
            if (isSevered(attempt)) {
                return new WebReply.Dropped();
            }
            boolean released = engine.apply((core, now) -> core.cancel(attempt, now));
            return WebReply.json(200, new EngineMessages.CancelResponse(attempt, released));
        }
        if (request.method().equals("POST") && request.path().startsWith(EXPORTS)) {
            return export(request.path().substring(EXPORTS.length()));
        }
        return WebReply.json(404, ErrorBody.of("not_found", "no such path"));
    }

    private boolean isSevered(String attempt) {
        return engine.query((core, now) -> core.isDisconnected(attempt, now));
    }

    private interface BodyHandler<T> {
        WebReply handle(T message);
    }

    private static <T> WebReply withBody(WebRequest request, Class<T> type, BodyHandler<T> handler) {
        return switch (Json.read(request.body(), type)) {
            case Result.Ok<T, String> ok -> handler.handle(ok.value());
            case Result.Err<T, String> err -> WebReply.json(400, ErrorBody.of("malformed", err.error()));
        };
    }

    private WebReply setFaults(EngineFaults faults) {
        injectFaults(faults);
        return WebReply.json(200, faults);
    }

    private boolean isDead() {
        return engine.query((core, now) -> core.faults().dead());
    }

    private WebReply reserve(EngineMessages.ReserveRequest request) {
        if (isSevered(request.attempt())) {
            return new WebReply.Dropped();
        }
        return switch (engine.apply((core, now) -> core.reserve(request, now))) {
            case HELD ->
                WebReply.json(
                        200,
                        new EngineMessages.ReserveResponse(
                                request.attempt(), profile.sizes().piecesFor(request.tokens())));
            case FULL -> WebReply.json(429, ErrorBody.of("full", "no slot or memory is free"));
            case CANCELLED -> cancelled();
            case BUSY -> WebReply.json(429, ErrorBody.of("busy", "an order is being carried out"));
        };
    }

    private WebReply prefill(EngineMessages.PrefillRequest request) {
        if (isSevered(request.attempt())) {
            return new WebReply.Dropped();
        }
        Holder holder = new Holder(request.attempt(), request.instance(), request.incarnation());
        Optional<EngineCore.Prefill> prefill =
                engine.apply((core, now) -> core.prefill(holder, request.prompt(), request.priority(), now));
        if (prefill.isEmpty() || !engine.await(prefill.get().job())) {
            return cancelled();
        }
        int tokens = prefill.get().job().tokens();
        return WebReply.json(
                200,
                new EngineMessages.PrefillResponse(
                        request.attempt(),
                        request.attempt(),
                        tokens,
                        prefill.get().cachedTokens(),
                        tokens * profile.rates().kvBytesPerToken()));
    }

    private WebReply export(String handle) {
        HeldAttempts.PrefillResult result = engine.apply((core, now) -> core.export(handle, now));
        return result == null ? evicted() : WebReply.json(200, new Exported(result.tokens(), result.computed()));
    }

    private WebReply importKv(EngineMessages.ImportRequest request) {
        String attempt = request.attempt();
        if (!engine.apply((core, now) -> core.beginImport(attempt, now))) {
            return cancelled();
        }
        HttpCall call = HttpCall.postJson(
                HostPort.parse(request.source()).httpUri(EXPORTS + request.handle()), request, EXPORT_TIMEOUT);
        Result<HttpAnswer, HttpFailure> exported = transport.send(call);
        if (!exported.isOk() || !exported.value().isSuccess()) {
            engine.apply((core, now) -> core.endImport(attempt, false, now));
            return exported.isOk()
                    ? evicted()
                    : WebReply.json(502, ErrorBody.of("source", exported.error().detail()));
        }
        Exported kv = Json.read(exported.value().body(), Exported.class).value();
        boolean fetched = engine.apply((core, now) -> core.transfer(attempt, kv.tokens(), kv.computed(), now))
                .map(engine::await)
                .orElse(false);
        return fetched && engine.apply((core, now) -> core.endImport(attempt, true, now))
                ? WebReply.json(
                        200,
                        new EngineMessages.ImportResponse(
                                attempt, kv.tokens() * profile.rates().kvBytesPerToken()))
                : cancelled();
    }

    private WebReply decode(EngineMessages.DecodeRequest request, WebRequest web) {
        if (isSevered(request.attempt())) {
            return new WebReply.Dropped();
        }
        if (!engine.query((core, now) -> core.holds(request.attempt()))) {
            return cancelled();
        }
        TokenStreamWriter writer = new TokenStreamWriter(engine, profile.sizes(), silenced, request, web);
        return WebReply.events(Headers.empty(), writer::writeTo);
    }

    private WebReply order(EngineMessages.OrderRequest order) {
        EngineOrders.Taken taken = engine.apply((core, now) -> core.orders()
                .take(order, core.faults().ignoresFencing(), core.faults().slowFactor(), now));
        return switch (taken) {
            case BEGUN, REPEATED -> {
                engine.sleepUntil(engine.query((core, now) -> core.orders().until()));
                yield WebReply.json(
                        200, engine.query((core, now) -> core.orders().state(now)));
            }
            case OLD_FENCING -> WebReply.json(STALE_ORDER, ErrorBody.of("fencing", "a later order was seen"));
            case BUSY -> WebReply.json(429, ErrorBody.of("busy", "another order is being carried out"));
            case MALFORMED -> WebReply.json(400, ErrorBody.of("malformed", "unknown kind or missing field"));
        };
    }

    private WebReply cacheEvents(WebRequest request) {
        long after = request.queryValue("after").map(Long::parseLong).orElse(0L);
        return WebReply.json(
                200, new EngineMessages.CacheEvents(engine.query((core, now) -> core.cacheEvents(after, now))));
    }

    private WebReply heldBy(String instance) {
        return WebReply.json(
                200, new EngineMessages.HeldAttemptList(engine.query((core, now) -> core.held(instance, now))));
    }

    private static WebReply cancelled() {
        return WebReply.json(CANCELLED, ErrorBody.of("cancelled", "the attempt holds no slot"));
    }

    private static WebReply evicted() {
        return WebReply.json(410, ErrorBody.of("evicted", "the prefill result is not held"));
    }
}
