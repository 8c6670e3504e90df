package org.mangoridge.http;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.Result;

/** A streamed answer, read line by line by one thread. */
public final class HttpLineStream implements AutoCloseable {

    private static final int MAX_REMAINING_LINES = 256;

    private final int status;
    private final Headers headers;
    private final LineQueue lines;
    private final Runnable onTimeout;

    HttpLineStream(int status, Headers headers, LineQueue lines, Runnable onTimeout) {
        this.onTimeout = onTimeout;
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

    /** Returns the next line, waiting at most {@code timeout}; empty after the last line of a complete answer. */
    public Result<Optional<String>, HttpFailure> nextLine(Duration timeout) {
        return lines.next(timeout, onTimeout);
    }

    /**
     * Returns the remaining lines, up to a maximum number, as one text; meant for the body of an error.
     *
     * @param timeout the maximum wait for each line
     */
    public Result<String, HttpFailure> remainingText(Duration timeout) {
        StringBuilder text = new StringBuilder();
        for (int count = 0; count < MAX_REMAINING_LINES; count++) {
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

    /** Closes the stream, and its connection unless the complete answer was received. */
    @Override
    public void close() {
        lines.close();
    }
}
