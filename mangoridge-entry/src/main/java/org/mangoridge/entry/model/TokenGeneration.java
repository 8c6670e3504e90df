package org.mangoridge.entry.model;

import java.time.Duration;
import java.util.function.BiFunction;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.TokenStream;
import org.mangoridge.routing.AttemptOutcome;
import org.mangoridge.routing.RoutingEvent;

/**
 * Generates the tokens of one request, each once and in order, with as many attempts as routing allows.
 *
 * <p>After a failed attempt, the next one resumes at the first token that was not yet returned. Used by one thread,
 * except {@link #callerGone()}.
 */
final class TokenGeneration {

    /** The result of one call of {@link #next()}. */
    sealed interface Step {}

    /**
     * The next token was generated.
     *
     * @param text the text of the token
     */
    record Token(String text) implements Step {}

    /**
     * All tokens were generated.
     *
     * @param finishReason the finish reason that the engine reported
     */
    record Completed(String finishReason) implements Step {}

    /**
     * The request failed and routing allows no further attempt.
     *
     * @param refusal the refusal to send to the caller
     */
    record Refused(Refusal refusal) implements Step {}

    /** The caller disconnected; the current attempt has been cancelled. */
    record CallerDisconnected() implements Step {}

    private final AttemptContext context;
    private final RoutingDriver driver;
    private final BiFunction<AttemptId, AttemptOutcome.Failed, Result<RoutingDriver.PlacedAttempt, Refusal>>
            afterFailure;
    private final StringBuilder generated = new StringBuilder();
    private volatile AttemptStages stages;
    private volatile boolean callerGone;
    private Verdict verdict = Verdict.NOT_RUN;
    private TokenStream stream;
    private int outputTokens;

    /**
     * Creates a generation that starts with {@code firstAttempt}.
     *
     * @param afterFailure returns the decision of routing after a failed attempt
     */
    TokenGeneration(
            AttemptContext context,
            RoutingDriver driver,
            RoutingDriver.PlacedAttempt firstAttempt,
            BiFunction<AttemptId, AttemptOutcome.Failed, Result<RoutingDriver.PlacedAttempt, Refusal>> afterFailure) {
        this.context = context;
        this.driver = driver;
        this.afterFailure = afterFailure;
        this.stages = newStages(firstAttempt);
    }

    /** Returns the number of tokens returned so far. */
    int outputTokens() {
        return outputTokens;
    }

    /** Returns the text of the tokens returned so far. */
    String text() {
        return generated.toString();
    }

    /** Waits for the next step; must not be called again after a step that is not a token. */
    Step next() {
        while (true) {
            if (callerGone) {
                abandon();
                return new CallerDisconnected();
            }
            Result<Step, AttemptOutcome.Failed> step = nextOfAttempt();
            if (step.isOk()) {
                return step.value();
            }
            if (callerGone) {
                continue;
            }
            closeAttempt();
            AttemptOutcome.Failed failed = step.error().withVerdictAtLeast(verdict);
            verdict = failed.verdict();
            Result<RoutingDriver.PlacedAttempt, Refusal> decision = afterFailure.apply(stages.attempt(), failed);
            if (!decision.isOk()) {
                return new Refused(decision.error());
            }
            stages = newStages(decision.value());
        }
    }

    /** Records that the caller disconnected and cancels the current attempt; may be called by any thread. */
    void callerGone() {
        callerGone = true;
        stages.release();
    }

    /** Cancels the current attempt and reports to routing that the caller disconnected. */
    void abandon() {
        closeAttempt();
        driver.post(new RoutingEvent.AttemptEnded(stages.attempt(), new AttemptOutcome.CallerGone(outputTokens)));
    }

    private AttemptStages newStages(RoutingDriver.PlacedAttempt placed) {
        return new AttemptStages(context, driver, placed.attempt(), placed.placement());
    }

    private void closeAttempt() {
        if (stream != null) {
            stream.close();
            stream = null;
        }
        stages.release();
    }

    private Result<Step, AttemptOutcome.Failed> nextOfAttempt() {
        Duration timeout = stages.timeouts().token();
        if (stream == null) {
            Result<TokenStream, AttemptOutcome.Failed> opened = stages.open(text(), outputTokens);
            if (!opened.isOk()) {
                return Result.err(opened.error());
            }
            stream = opened.value();
            verdict = Verdict.RAN;
            timeout = stages.timeouts().firstToken();
        }
        return read(timeout);
    }

    private Result<Step, AttemptOutcome.Failed> read(Duration timeout) {
        while (true) {
            Result<TokenStream.Item, EngineError> item = stream.next(timeout);
            if (!item.isOk()) {
                return Result.err(stages.decodeFailed(item.error(), outputTokens));
            }
            switch (item.value()) {
                case TokenStream.End end -> {
                    return Result.ok(completed(end));
                }
                case TokenStream.Token token when token.index() < outputTokens -> {
                    // already returned by an earlier attempt
                }
                case TokenStream.Token token
                when token.index() > outputTokens -> {
                    String detail = "token " + outputTokens + " is missing from the stream";
                    return Result.err(stages.decodeFailed(
                            new EngineError.TransportFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, detail),
                            outputTokens));
                }
                case TokenStream.Token token -> {
                    return Result.ok(returnToken(token));
                }
            }
        }
    }

    private Step completed(TokenStream.End end) {
        stream.close();
        stream = null;
        stages.completed();
        driver.post(new RoutingEvent.AttemptEnded(stages.attempt(), new AttemptOutcome.Completed(outputTokens)));
        return new Completed(end.finish());
    }

    private Step returnToken(TokenStream.Token token) {
        generated.append(token.text());
        if (outputTokens++ == 0) {
            driver.post(new RoutingEvent.FirstTokenSent(stages.attempt()));
        }
        return new Token(token.text());
    }
}
