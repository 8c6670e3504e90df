package org.mangoridge.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.ProtocolException;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Result;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.core.verdict.AttemptProgress;

/**
 * Sends outbound calls over pooled HTTP/1.1 connections.
 *
 * <p>The connection pool is replaced at a maximum age, and early if a call on one of its connections timed out. Calls
 * block and are meant for virtual threads. The underlying client repeats a call on a broken connection only if its
 * method is idempotent; any other call is sent at most once. Safe for use by several threads.
 */
public final class HttpTransport implements AutoCloseable {

    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private final RenewingClient client;

    private HttpTransport(RenewingClient client) {
        this.client = client;
    }

    /** Returns a transport with a limit on the time to connect. */
    public static HttpTransport create(Duration connectTimeout) {
        return create(connectTimeout, SystemClock.instance(), new SplittableRandom(connectTimeout.toNanos()));
    }

    /**
     * Returns a transport with a limit on the time to connect.
     *
     * @param connectTimeout the maximum time to connect
     * @param clock the source of time for the age of connection pools
     * @param random the source of jitter for their replacement; used by one thread at a time
     */
    public static HttpTransport create(Duration connectTimeout, Clock clock, RandomGenerator random) {
        return new HttpTransport(new RenewingClient(connectTimeout, clock, random));
    }

    /** Sends {@code call} and waits for the complete answer. */
    public Result<HttpAnswer, HttpFailure> send(HttpCall call) {
        BoundedBody body = new BoundedBody(MAX_ANSWER_BYTES);
        return await(client.acquire(), call, info -> body.subscriber(), body)
                .map(response -> new HttpAnswer(response.statusCode(), headers(response), response.body()));
    }

    /** Sends {@code call} and waits for the head of the answer; the caller must close the returned stream. */
    public Result<HttpLineStream, HttpFailure> openStream(HttpCall call) {
        RenewingClient.AcquiredClient acquired = client.acquire();
        return await(acquired, call, info -> LineQueue.subscriber(), new BoundedBody(MAX_ANSWER_BYTES))
                .map(response -> new HttpLineStream(
                        response.statusCode(),
                        headers(response),
                        response.body(),
                        () -> client.recordTimeout(acquired)));
    }

    @Override
    public void close() {
        client.close();
    }

    private <T> Result<HttpResponse<T>, HttpFailure> await(
            RenewingClient.AcquiredClient acquired,
            HttpCall call,
            HttpResponse.BodyHandler<T> handler,
            BoundedBody body) {
        CompletableFuture<HttpResponse<T>> pending = acquired.client().sendAsync(request(call), info -> {
            // The client accepts other numbers of three digits.
            if (info.statusCode() < MIN_STATUS || info.statusCode() > MAX_STATUS) {
                throw new UncheckedIOException(
                        new ProtocolException("status is not one of HTTP: " + info.statusCode()));
            }
            return handler.apply(info);
        });
        try {
            return Result.ok(pending.get(call.timeout().toNanos(), TimeUnit.NANOSECONDS));
        } catch (TimeoutException e) {
            pending.cancel(true);
            client.recordTimeout(acquired);
            return failure(body.progress(), "no answer within " + call.timeout().toMillis() + " ms");
        } catch (InterruptedException e) {
            pending.cancel(true);
            Thread.currentThread().interrupt();
            return failure(body.progress(), "interrupted while waiting for the answer");
        } catch (ExecutionException e) {
            return failure(progress(e.getCause(), body), describe(e.getCause()));
        }
    }

    private static AttemptProgress progress(Throwable cause, BoundedBody body) {
        boolean notConnected = cause instanceof HttpConnectTimeoutException || cause instanceof ConnectException;
        return notConnected ? AttemptProgress.BEFORE_CONNECT : body.progress();
    }

    private static String describe(Throwable cause) {
        String type = cause.getClass().getSimpleName();
        if (cause.getMessage() == null) {
            return type;
        }
        return cause instanceof IOException ? cause.getMessage() : type + ": " + cause.getMessage();
    }

    private static <T> Result<T, HttpFailure> failure(AttemptProgress progress, String detail) {
        return Result.err(new HttpFailure(progress, detail));
    }

    private static HttpRequest request(HttpCall call) {
        HttpRequest.BodyPublisher body = call.body().length == 0
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(call.body());
        HttpRequest.Builder builder = HttpRequest.newBuilder(call.uri()).method(call.method(), body);
        call.headers().asMap().forEach(builder::header);
        return builder.build();
    }

    private static Headers headers(HttpResponse<?> response) {
        Map<String, String> first = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        response.headers().map().forEach((name, values) -> first.put(name, values.get(0)));
        return Headers.copyOf(first);
    }
}
