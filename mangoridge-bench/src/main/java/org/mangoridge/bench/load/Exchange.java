package org.mangoridge.bench.load;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.bench.load.Outcome.End;
import org.mangoridge.core.Result;
import org.mangoridge.core.time.Clock;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.HttpTransport;

/** One request and the reading of its answer, on a thread of its own. */
final class Exchange {

    /** How long the generator waits for an answer to begin, and then for each further piece. */
    static final Duration LONGEST_WAIT = Duration.ofSeconds(20);

    private static final int OK = 200;
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String VERDICT = "X-Verdict";
    private static final String PIECE = "data: {";
    private static final String ERROR = "data: {\"error\"";
    private static final String DONE = "data: [DONE]";
    private static final String LAST_PIECE = "\"finish_reason\":\"";

    private final Clock clock;
    private final HttpTransport transport;
    private final LoadGenerator.AnswerCheck check;
    private final Arrival arrival;
    private final Duration due;
    private Duration sentLate;
    private Duration firstToken;
    private Duration lastToken;
    private int tokens;
    private String requestId = "";
    private String verdict = "";

    Exchange(Clock clock, HttpTransport transport, LoadGenerator.AnswerCheck check, Arrival arrival, Duration due) {
        this.clock = clock;
        this.transport = transport;
        this.check = check;
        this.arrival = arrival;
        this.due = due;
    }

    /** Sends the request and reads the answer to its end. */
    Outcome run(HttpCall call) {
        sentLate = sinceDue();
        Result<HttpLineStream, HttpFailure> opened = transport.openStream(call);
        if (!opened.isOk()) {
            return outcome(End.NO_ANSWER);
        }
        try (HttpLineStream lines = opened.value()) {
            requestId = lines.headers().value(REQUEST_ID).orElse("");
            verdict = lines.headers().value(VERDICT).orElse("");
            if (lines.status() != OK) {
                Duration refusedAt = sinceDue();
                return new Outcome(arrival, sentLate, End.REFUSED, requestId, verdict, null, null, 0, refusedAt);
            }
            return outcome(read(lines));
        }
    }

    private End read(HttpLineStream lines) {
        while (true) {
            Result<Optional<String>, HttpFailure> line = lines.nextLine(LONGEST_WAIT);
            if (!line.isOk() || line.value().isEmpty()) {
                return End.CUT;
            }
            String text = line.value().get();
            if (text.startsWith(DONE)) {
                return check.isWhole(arrival.prompt().text(), arrival.maxTokens(), tokens) ? End.WHOLE : End.WRONG;
            }
            if (text.startsWith(ERROR)) {
                return End.CUT;
            }
            if (text.startsWith(PIECE) && !text.contains(LAST_PIECE)) {
                token();
            }
        }
    }

    private void token() {
        lastToken = sinceDue();
        if (tokens++ == 0) {
            firstToken = lastToken;
        }
    }

    private Duration sinceDue() {
        return clock.elapsed().minus(due);
    }

    private Outcome outcome(End end) {
        return new Outcome(arrival, sentLate, end, requestId, verdict, firstToken, lastToken, tokens, sinceDue());
    }
}
