package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.http.Json;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.StreamSink;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;
import org.mangoridge.web.WebServer;

/** Serves the engine protocol, and spends the time that the work would take. */
public final class EngineStandIn implements AutoCloseable, WebHandler {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration EXPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final String ATTEMPTS = "/v1/attempts/";
    private static final String EXPORTS = "/v1/exports/";

    /**
     * The answer to an export.
     *
     * @param tokens the tokens of KV cache
     */
    record Exported(int tokens) {}

    private final EngineProfile profile;
    private final HeldAttempts held;
    private final ReentrantLock prefillUnit = new ReentrantLock(true);
    private final ReentrantLock link = new ReentrantLock(true);
    private final AtomicLong prefillQueueTokens = new AtomicLong();
    private final AtomicLong prefillTokens = new AtomicLong();
    private final HttpTransport transport = HttpTransport.create(CONNECT_TIMEOUT);
    private WebServer server;

    private EngineStandIn(EngineProfile profile, Clock clock) {
        this.profile = profile;
        this.held = new HeldAttempts(profile, clock);
    }

    /** Starts an engine that listens on {@code bind}. */
    public static EngineStandIn start(HostPort bind, EngineProfile profile, Clock clock) {
        EngineStandIn engine = new EngineStandIn(profile, clock);
        engine.server = WebServer.start(bind, MAX_BODY_BYTES, 1, engine);
        return engine;
    }

    /** Returns the address listened on. */
    public HostPort address() {
        return server.address();
    }

    /** Returns the tokens of all prompts that were prefilled. */
    public long prefillTokens() {
        return prefillTokens.get();
    }

    /** Returns the tokens of prefill results that were never used. */
    public long wastedPrefillTokens() {
        return held.wastedPrefillTokens();
    }

    /** Returns how many slots are held. */
    public int slotsUsed() {
        return held.slotsUsed();
    }

    @Override
    public void close() {
        server.close();
        transport.close();
    }

    @Override
    public WebReply handle(WebRequest request) {
        return switch (request.method() + " " + request.path()) {
            case "POST /v1/reservations" -> withBody(request, EngineMessages.ReserveRequest.class, this::reserve);
            case "POST /v1/prefills" -> withBody(request, EngineMessages.PrefillRequest.class, this::prefill);
            case "POST /v1/imports" -> withBody(request, EngineMessages.ImportRequest.class, this::importKv);
            case "POST /v1/decodes" ->
                withBody(request, EngineMessages.DecodeRequest.class, message -> decode(message, request));
            case "GET /v1/load" -> WebReply.json(200, load());
            case "GET /v1/attempts" ->
                WebReply.json(
                        200,
                        new EngineMessages.HeldList(
                                held.list(request.queryValue("instance").orElse(""))));
            default -> byPrefix(request);
        };
    }

    private WebReply byPrefix(WebRequest request) {
        if (request.method().equals("DELETE") && request.path().startsWith(ATTEMPTS)) {
            String attempt = request.path().substring(ATTEMPTS.length());
            return WebReply.json(200, new EngineMessages.Released(attempt, held.release(attempt)));
        }
        if (request.method().equals("POST") && request.path().startsWith(EXPORTS)) {
            int tokens = held.export(request.path().substring(EXPORTS.length()));
            return tokens < 0
                    ? WebReply.json(410, ErrorBody.of("evicted", "the prefill result is not held"))
                    : WebReply.json(200, new Exported(tokens));
        }
        return WebReply.json(404, ErrorBody.of("not_found", "no such path"));
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

    private WebReply reserve(EngineMessages.ReserveRequest request) {
        return held.reserve(request)
                ? WebReply.json(
                        200, new EngineMessages.Reserved(request.attempt(), profile.piecesFor(request.tokens())))
                : WebReply.json(429, ErrorBody.of("full", "no slot or memory is free"));
    }

    private WebReply prefill(EngineMessages.PrefillRequest request) {
        int tokens = tokensOf(request.prompt());
        prefillQueueTokens.addAndGet(tokens);
        prefillUnit.lock();
        try {
            pause(Duration.ofNanos(tokens * 1_000_000_000L / profile.prefillTokensPerSecond()));
        } finally {
            prefillUnit.unlock();
            prefillQueueTokens.addAndGet(-tokens);
        }
        prefillTokens.addAndGet(tokens);
        held.store(request, tokens);
        return WebReply.json(
                200,
                new EngineMessages.PrefillDone(
                        request.attempt(), request.attempt(), tokens, 0, tokens * profile.kvBytesPerToken()));
    }

    private WebReply importKv(EngineMessages.ImportRequest request) {
        if (!held.holds(request.attempt())) {
            return WebReply.json(499, ErrorBody.of("cancelled", "the attempt holds no slot"));
        }
        HttpCall call = HttpCall.postJson(
                HostPort.parse(request.source()).httpUri(EXPORTS + request.handle()), request, EXPORT_TIMEOUT);
        Result<HttpAnswer, HttpFailure> exported = transport.send(call);
        if (!exported.isOk()) {
            return WebReply.json(502, ErrorBody.of("source", exported.error().detail()));
        }
        if (!exported.value().isSuccess()) {
            return WebReply.json(410, ErrorBody.of("evicted", "the prefill result is not held"));
        }
        int tokens = Json.read(exported.value().body(), Exported.class).value().tokens();
        long bytes = tokens * profile.kvBytesPerToken();
        link.lock();
        try {
            pause(Duration.ofNanos((long) (bytes * 1e9 / profile.linkBytesPerSecond())));
        } finally {
            link.unlock();
        }
        return held.advance(request.attempt(), HeldAttempts.Stage.IMPORTED)
                ? WebReply.json(200, new EngineMessages.Imported(request.attempt(), bytes))
                : WebReply.json(499, ErrorBody.of("cancelled", "the attempt was cancelled"));
    }

    private WebReply decode(EngineMessages.DecodeRequest request, WebRequest web) {
        if (!held.advance(request.attempt(), HeldAttempts.Stage.DECODING)) {
            return WebReply.json(499, ErrorBody.of("cancelled", "the attempt holds no slot"));
        }
        return WebReply.events(Headers.empty(), sink -> generate(request, web, sink));
    }

    private void generate(EngineMessages.DecodeRequest request, WebRequest web, StreamSink sink) {
        try {
            for (int index = request.firstIndex(); index < request.maxTokens(); index++) {
                pause(profile.tokenInterval());
                boolean stopped = web.disconnect().isGone() || !held.holds(request.attempt());
                if (stopped || !send(sink, request.attempt(), index, TokenText.of(request.prompt(), index), null)) {
                    sink.abort();
                    return;
                }
            }
            send(sink, request.attempt(), request.maxTokens(), null, "length");
        } finally {
            held.release(request.attempt());
        }
    }

    private static boolean send(StreamSink sink, String attempt, int index, String text, String finish) {
        return sink.writeEvent(Json.text(new EngineMessages.StreamEvent(attempt, index, text, finish)));
    }

    private EngineMessages.LoadReport load() {
        return new EngineMessages.LoadReport(
                profile.role(),
                profile.model(),
                profile.version(),
                profile.slots(),
                held.slotsUsed(),
                profile.pieces(),
                held.piecesUsed(),
                profile.pieceTokens(),
                prefillQueueTokens.get(),
                profile.prefillTokensPerSecond(),
                profile.linkBytesPerSecond(),
                profile.kvBytesPerToken(),
                0,
                held.attempts());
    }

    private static int tokensOf(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
