package org.mangoridge.http;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Result;

/** A streamed answer read line by line by one thread. */
public final class HttpLineStream implements AutoCloseable {

    private static final int MAX_TEXT_LINES = 256;

    private final int status;
    private final Headers headers;
    private final LineQueue lines;
    private final Runnable onSilence;

    HttpLineStream(int status, Headers headers, LineQueue lines, Runnable onSilence) {
        this.onSilence = onSilence;
        this.status = status;
        this.headers = headers;
        this.lines = lines;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the headers. */
    public Headers headers() {
        return headers;
    }

    /** Waits at most {@code timeout} for the next line; empty after the last line of a whole answer. */
    public Result<Optional<String>, HttpFailure> nextLine(Duration timeout) {
        return lines.next(timeout, onSilence);
    }

    /** Reads the rest, a bounded number of lines, as one text; for the body of an error. */
    public Result<String, HttpFailure> remainingText(Duration timeout) {
        StringBuilder text = new StringBuilder();
        for (int count = 0; count < MAX_TEXT_LINES; count++) {
            Result<Optional<String>, HttpFailure> line = nextLine(timeout);
            if (!line.isOk()) {
                return Result.err(line.error());
            }
            if (line.value().isEmpty()) {
                break;
            }
            text.append(line.value().get()).append('\n');
        }
        return Result.ok(text.toString());
    }

    /** Ends the stream; closes its connection unless the answer was whole. */
    @Override
    public void close() {
        lines.close();
    }
}
