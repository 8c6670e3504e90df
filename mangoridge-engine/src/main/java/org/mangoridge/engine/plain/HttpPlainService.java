package org.mangoridge.engine.plain;

import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.engine.EngineError;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;

/** Forwards calls over HTTP; drops an answer that names another attempt or that may be truncated. */
public final class HttpPlainService implements PlainService {

    /** The header with the attempt id, in a call and in its answer. */
    public static final String ATTEMPT_HEADER = "X-Attempt-Id";

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final HttpTransport transport;

    private HttpPlainService(HttpTransport transport) {
        this.transport = transport;
    }

    /** Returns a service that sends calls over {@code transport}. */
    public static HttpPlainService create(HttpTransport transport) {
        return new HttpPlainService(transport);
    }

    @Override
    public Result<HttpAnswer, EngineError> call(PlainCall call) {
        HttpCall outbound = new HttpCall(
                call.method(),
                call.address().httpUri(call.path()),
                call.headers().with(ATTEMPT_HEADER, call.attempt().toString()),
                call.body(),
                call.timeout());
        return switch (transport.send(outbound)) {
            case Result.Err<HttpAnswer, HttpFailure> err ->
                Result.err(new EngineError.TransportFailure(
                        err.error().progress(), err.error().detail()));
            case Result.Ok<HttpAnswer, HttpFailure> ok -> checkAttempt(call, ok.value());
        };
    }

    private static Result<HttpAnswer, EngineError> checkAttempt(PlainCall call, HttpAnswer answer) {
        Optional<String> named = answer.headers().value(ATTEMPT_HEADER);
        if (named.isEmpty() || named.get().equals(call.attempt().toString())) {
            return isProvablyComplete(call, answer)
                    ? Result.ok(answer)
                    : Result.err(new EngineError.TransportFailure(
                            AttemptProgress.ANSWER_PARTLY_RECEIVED,
                            "answer has neither Content-Length nor Transfer-Encoding"));
        }
        EventLog.write(
                LogEvent.STALE_ANSWER_DROPPED, Field.of("attempt", call.attempt()), Field.of("named", named.get()));
        return Result.err(
                new EngineError.TransportFailure(AttemptProgress.REQUEST_SENT, "answer names another attempt"));
    }

    /** Tells whether the answer is delimited; one that ends where its connection is closed may be truncated. */
    private static boolean isProvablyComplete(PlainCall call, HttpAnswer answer) {
        boolean bodyless =
                call.method().equals("HEAD") || answer.status() == NO_CONTENT || answer.status() == NOT_MODIFIED;
        return bodyless
                || answer.headers().value("Content-Length").isPresent()
                || answer.headers().value("Transfer-Encoding").isPresent();
    }
}
