package org.mangoridge.engine.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.ModelEngine;
import org.mangoridge.engine.TokenStream;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.http.Json;

/** A model engine called over HTTP with the protocol of {@code docs/ENGINE-PROTOCOL.md}. */
public final class HttpModelEngine implements ModelEngine {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STREAM_HEAD_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(60);
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int CLIENT_CLOSED_REQUEST = 499;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpTransport transport;
    private final HostPort address;

    private HttpModelEngine(HttpTransport transport, HostPort address) {
        this.transport = transport;
        this.address = address;
    }

    /** Returns the engine at {@code address}. */
    public static HttpModelEngine create(HttpTransport transport, HostPort address) {
        return new HttpModelEngine(transport, address);
    }

    @Override
    public Result<EngineMessages.ReserveResponse, EngineError> reserve(
            EngineMessages.ReserveRequest request, Duration limit) {
        return post("/v1/reservations", request, limit, EngineMessages.ReserveResponse.class);
    }

    @Override
    public Result<EngineMessages.PrefillResponse, EngineError> prefill(
            EngineMessages.PrefillRequest request, Duration limit) {
        return post("/v1/prefills", request, limit, EngineMessages.PrefillResponse.class);
    }

    @Override
    public Result<EngineMessages.ImportResponse, EngineError> importKv(
            EngineMessages.ImportRequest request, Duration limit) {
        return post("/v1/imports", request, limit, EngineMessages.ImportResponse.class);
    }

    @Override
    public Result<TokenStream, EngineError> decode(EngineMessages.DecodeRequest request) {
        HttpCall call = HttpCall.postJson(address.httpUri("/v1/decodes"), request, STREAM_HEAD_TIMEOUT);
        return switch (transport.openStream(call)) {
            case Result.Err<HttpLineStream, HttpFailure> err -> Result.err(toTransportFailure(err.error()));
            case Result.Ok<HttpLineStream, HttpFailure> ok
            when ok.value().status() == OK ->
                Result.ok(new HttpTokenStream(AttemptId.parse(request.attempt()), ok.value()));
            case Result.Ok<HttpLineStream, HttpFailure> ok -> Result.err(streamError(ok.value()));
        };
    }

    @Override
    public Result<EngineMessages.CancelResponse, EngineError> cancel(AttemptId attempt) {
        return cancel(attempt, transport);
    }

    @Override
    public Result<EngineMessages.CancelResponse, EngineError> cancelOnNewConnection(AttemptId attempt) {
        try (HttpTransport fresh = HttpTransport.create(CONNECT_TIMEOUT)) {
            return cancel(attempt, fresh);
        }
    }

    private Result<EngineMessages.CancelResponse, EngineError> cancel(AttemptId attempt, HttpTransport over) {
        HttpCall call = HttpCall.delete(address.httpUri("/v1/attempts/" + attempt), CALL_TIMEOUT);
        return parseAnswer(over.send(call), EngineMessages.CancelResponse.class);
    }

    @Override
    public Result<List<EngineMessages.HeldAttempt>, EngineError> heldAttempts(InstanceId instance) {
        return get("/v1/attempts?instance=" + instance, EngineMessages.HeldAttemptList.class)
                .map(EngineMessages.HeldAttemptList::held);
    }

    @Override
    public Result<EngineMessages.LoadReport, EngineError> loadReport() {
        return get("/v1/load", EngineMessages.LoadReport.class);
    }

    @Override
    public Result<List<EngineMessages.CacheEvent>, EngineError> cacheEvents(long sequence) {
        return get("/v1/cache-events?after=" + sequence, EngineMessages.CacheEvents.class)
                .map(EngineMessages.CacheEvents::events);
    }

    @Override
    public Result<EngineMessages.EngineState, EngineError> order(EngineMessages.OrderRequest request) {
        return post("/v1/orders", request, ORDER_TIMEOUT, EngineMessages.EngineState.class);
    }

    @Override
    public Result<EngineMessages.EngineState, EngineError> state() {
        return get("/v1/state", EngineMessages.EngineState.class);
    }

    private <T> Result<T, EngineError> get(String path, Class<T> type) {
        return parseAnswer(transport.send(HttpCall.get(address.httpUri(path), CALL_TIMEOUT)), type);
    }

    private <T> Result<T, EngineError> post(String path, Object message, Duration timeout, Class<T> type) {
        return parseAnswer(transport.send(HttpCall.postJson(address.httpUri(path), message, timeout)), type);
    }

    private static <T> Result<T, EngineError> parseAnswer(Result<HttpAnswer, HttpFailure> sent, Class<T> type) {
        return switch (sent) {
            case Result.Err<HttpAnswer, HttpFailure> err -> Result.err(toTransportFailure(err.error()));
            case Result.Ok<HttpAnswer, HttpFailure> ok
            when !ok.value().isSuccess() ->
                Result.err(toError(ok.value().status(), ok.value().text()));
            case Result.Ok<HttpAnswer, HttpFailure> ok ->
                switch (Json.read(ok.value().body(), type)) {
                    case Result.Ok<T, String> read -> Result.ok(read.value());
                    case Result.Err<T, String> unreadable ->
                        Result.err(new EngineError.Failed("cannot parse answer: " + unreadable.error()));
                };
        };
    }

    private static EngineError streamError(HttpLineStream stream) {
        try (stream) {
            Result<String, HttpFailure> text = stream.remainingText(CALL_TIMEOUT);
            return toError(
                    stream.status(), text.isOk() ? text.value() : text.error().detail());
        }
    }

    private static EngineError toError(int status, String detail) {
        return switch (status) {
            case TOO_MANY_REQUESTS -> new EngineError.Full(Optional.empty());
            case GONE -> new EngineError.Evicted();
            case CLIENT_CLOSED_REQUEST -> new EngineError.Cancelled();
            default ->
                status >= FIRST_SERVER_ERROR
                        ? new EngineError.Failed(detail)
                        : new EngineError.Rejected(status, detail);
        };
    }

    static EngineError toTransportFailure(HttpFailure failure) {
        return new EngineError.TransportFailure(failure.progress(), failure.detail());
    }
}
