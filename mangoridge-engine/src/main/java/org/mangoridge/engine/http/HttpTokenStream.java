package org.mangoridge.engine.http;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.TokenStream;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.Json;

/** Reads tokens from a stream of server-sent events. */
final class HttpTokenStream implements TokenStream {

    private static final String DATA_PREFIX = "data:";

    private final AttemptId attempt;
    private final HttpLineStream lines;

    HttpTokenStream(AttemptId attempt, HttpLineStream lines) {
        this.attempt = attempt;
        this.lines = lines;
    }

    @Override
    public Result<Item, EngineError> next(Duration timeout) {
        while (true) {
            Result<Optional<String>, HttpFailure> line = lines.nextLine(timeout);
            if (!line.isOk()) {
                return Result.err(HttpModelEngine.toTransportFailure(line.error()));
            }
            if (line.value().isEmpty()) {
                return brokenOff("stream ended before its last event");
            }
            if (!line.value().get().startsWith(DATA_PREFIX)) {
                continue;
            }
            Result<EngineMessages.StreamEvent, String> event =
                    Json.read(line.value().get().substring(DATA_PREFIX.length()), EngineMessages.StreamEvent.class);
            if (!event.isOk()) {
                return brokenOff("cannot parse stream event: " + event.error());
            }
            if (attempt.toString().equals(event.value().attempt())) {
                return Result.ok(toItem(event.value()));
            }
            EventLog.write(
                    LogEvent.STALE_ANSWER_DROPPED,
                    Field.of("attempt", attempt),
                    Field.of("named", event.value().attempt()));
        }
    }

    @Override
    public void close() {
        lines.close();
    }

    private static Item toItem(EngineMessages.StreamEvent event) {
        return event.finish() == null ? new Token(event.index(), event.text()) : new End(event.finish());
    }

    private static Result<Item, EngineError> brokenOff(String detail) {
        return Result.err(new EngineError.TransportFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, detail));
    }
}
