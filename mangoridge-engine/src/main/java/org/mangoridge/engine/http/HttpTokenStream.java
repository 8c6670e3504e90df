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

/** Tokens from server-sent events. */
final class HttpTokenStream implements TokenStream {

    private static final String DATA = "data:";

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
                return Result.err(HttpModelEngine.lost(line.error()));
            }
            if (line.value().isEmpty()) {
                return cut("stream ended without its last event");
            }
            if (!line.value().get().startsWith(DATA)) {
                continue;
            }
            Result<EngineMessages.StreamEvent, String> event =
                    Json.read(line.value().get().substring(DATA.length()), EngineMessages.StreamEvent.class);
            if (!event.isOk()) {
                return cut("unreadable event: " + event.error());
            }
            if (attempt.toString().equals(event.value().attempt())) {
                return Result.ok(item(event.value()));
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

    private static Item item(EngineMessages.StreamEvent event) {
        return event.finish() == null ? new Token(event.index(), event.text()) : new End(event.finish());
    }

    private static Result<Item, EngineError> cut(String detail) {
        return Result.err(new EngineError.TransportFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, detail));
    }
}
