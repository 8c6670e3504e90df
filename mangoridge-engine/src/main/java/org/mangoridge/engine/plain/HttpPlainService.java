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

/** Passes calls over HTTP and drops an answer that names another attempt. */
public final class HttpPlainService implements PlainService {

    /** The header that names the attempt, in the call and in its answer. */
    public static final String ATTEMPT_HEADER = "X-Attempt-Id";

    private final HttpTransport transport;

    private HttpPlainService(HttpTransport transport) {
        this.transport = transport;
    }

    /** Returns a service that sends over {@code transport}. */
    public static HttpPlainService create(HttpTransport transport) {
        return new HttpPlainService(transport);
    }

    @Override
    public Result<HttpAnswer, EngineError> call(PlainCall call) {
        HttpCall out = new HttpCall(
                call.method(),
                call.address().httpUri(call.path()),
                call.headers().with(ATTEMPT_HEADER, call.attempt().toString()),
                call.body(),
                call.timeout());
        return switch (transport.send(out)) {
            case Result.Err<HttpAnswer, HttpFailure> err ->
                Result.err(
                        new EngineError.Lost(err.error().progress(), err.error().detail()));
            case Result.Ok<HttpAnswer, HttpFailure> ok -> checkAttempt(call, ok.value());
        };
    }

    private static Result<HttpAnswer, EngineError> checkAttempt(PlainCall call, HttpAnswer answer) {
        Optional<String> named = answer.headers().value(ATTEMPT_HEADER);
        if (named.isEmpty() || named.get().equals(call.attempt().toString())) {
            return Result.ok(answer);
        }
        EventLog.write(
                LogEvent.STALE_ANSWER_DROPPED, Field.of("attempt", call.attempt()), Field.of("named", named.get()));
        return Result.err(new EngineError.Lost(AttemptProgress.REQUEST_SENT, "answer of another attempt"));
    }
}
