package org.mangoridge.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.mangoridge.core.Result;
import org.mangoridge.core.verdict.AttemptProgress;

/**
 * Sends outbound calls over pooled HTTP/1.1 connections.
 *
 * <p>Calls block and are meant for virtual threads. The underlying client repeats a call on a broken connection only
 * if its method is idempotent; any other call is sent at most once. Safe for use by several threads.
 */
public final class HttpTransport implements AutoCloseable {

    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    private final HttpClient client;

    private HttpTransport(HttpClient client) {
        this.client = client;
    }

    /** Returns a transport that gives up connecting after {@code connectTimeout}. */
    public static HttpTransport create(Duration connectTimeout) {
        return new HttpTransport(HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(connectTimeout)
                .followRedirects(HttpClient.Redirect.NEVER)
                .build());
    }

    /** Sends {@code call} and waits for the whole answer. */
    public Result<HttpAnswer, HttpFailure> send(HttpCall call) {
        BoundedBody body = new BoundedBody(MAX_ANSWER_BYTES);
        return await(call, info -> body.subscriber(), body)
                .map(response -> new HttpAnswer(response.statusCode(), headers(response), response.body()));
    }

    /** Sends {@code call} and waits for the head of the answer; the caller closes the stream. */
    public Result<HttpLines, HttpFailure> open(HttpCall call) {
        return await(call, info -> LineQueue.subscriber(), new BoundedBody(MAX_ANSWER_BYTES))
                .map(response -> new HttpLines(response.statusCode(), headers(response), response.body()));
    }

    @Override
    public void close() {
        client.shutdownNow();
    }

    private <T> Result<HttpResponse<T>, HttpFailure> await(
            HttpCall call, HttpResponse.BodyHandler<T> handler, BoundedBody body) {
        CompletableFuture<HttpResponse<T>> pending = client.sendAsync(request(call), handler);
        try {
            return Result.ok(pending.get(call.timeout().toNanos(), TimeUnit.NANOSECONDS));
        } catch (TimeoutException e) {
            pending.cancel(true);
            return failure(body.progress(), "no answer within " + call.timeout().toMillis() + " ms");
        } catch (InterruptedException e) {
            pending.cancel(true);
            Thread.currentThread().interrupt();
            return failure(body.progress(), "interrupted");
        } catch (ExecutionException e) {
            return failure(progress(e.getCause(), body), describe(e.getCause()));
        }
    }

    private static AttemptProgress progress(Throwable cause, BoundedBody body) {
        boolean unconnected = cause instanceof HttpConnectTimeoutException || cause instanceof ConnectException;
        return unconnected ? AttemptProgress.BEFORE_CONNECT : body.progress();
    }

    private static String describe(Throwable cause) {
        String kind = cause.getClass().getSimpleName();
        if (cause.getMessage() == null) {
            return kind;
        }
        return cause instanceof IOException ? cause.getMessage() : kind + ": " + cause.getMessage();
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
