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
 * The tokens of one request, each once and in order, over as many attempts as routing allows.
 *
 * <p>Read by one thread. A broken attempt is continued by the next at the token that it reached.
 */
final class TokenGeneration {

    /** What comes next. */
    sealed interface Step {}

    /**
     * A token.
     *
     * @param text its text
     */
    record Token(String text) implements Step {}

    /**
     * The end of the whole answer.
     *
     * @param finish why generation ended
     */
    record Completed(String finish) implements Step {}

    /**
     * No further attempt is made.
     *
     * @param refusal what to tell the caller
     */
    record Refused(Refusal refusal) implements Step {}

    /** The caller has gone; what the request held is released. */
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
     * Creates a generation that begins with the attempt {@code start}.
     *
     * @param afterFailure asks routing what to do after a failed attempt
     */
    TokenGeneration(
            AttemptContext context,
            RoutingDriver driver,
            RoutingDriver.PlacedAttempt start,
            BiFunction<AttemptId, AttemptOutcome.Failed, Result<RoutingDriver.PlacedAttempt, Refusal>> afterFailure) {
        this.context = context;
        this.driver = driver;
        this.afterFailure = afterFailure;
        this.stages = stages(start);
    }

    /** Returns how many tokens were given. */
    int outputTokens() {
        return outputTokens;
    }

    /** Returns the text of the tokens given. */
    String text() {
        return generated.toString();
    }

    /** Waits for the next step; nothing follows a whole answer or a refusal. */
    Step next() {
        while (true) {
            if (callerGone) {
                abandon();
                return new CallerDisconnected();
            }
            Result<Step, AttemptOutcome.Failed> step = attemptStep();
            if (step.isOk()) {
                return step.value();
            }
            if (callerGone) {
                continue;
            }
            end();
            AttemptOutcome.Failed failed = step.error().withVerdictAtLeast(verdict);
            verdict = failed.verdict();
            Result<RoutingDriver.PlacedAttempt, Refusal> decision = afterFailure.apply(stages.attempt(), failed);
            if (!decision.isOk()) {
                return new Refused(decision.error());
            }
            stages = stages(decision.value());
        }
    }

    /** Notes that the caller has gone and has the work in progress released; any thread may call it. */
    void callerGone() {
        callerGone = true;
        stages.release();
    }

    /** Ends the generation because the caller has gone, and releases what it holds. */
    void abandon() {
        end();
        driver.post(new RoutingEvent.AttemptEnded(stages.attempt(), new AttemptOutcome.CallerGone(outputTokens)));
    }

    private AttemptStages stages(RoutingDriver.PlacedAttempt start) {
        return new AttemptStages(context, driver, start.attempt(), start.placement());
    }

    private void end() {
        if (stream != null) {
            stream.close();
            stream = null;
        }
        stages.release();
    }

    private Result<Step, AttemptOutcome.Failed> attemptStep() {
        Duration silence = stages.timeouts().token();
        if (stream == null) {
            Result<TokenStream, AttemptOutcome.Failed> opened = stages.open(text(), outputTokens);
            if (!opened.isOk()) {
                return Result.err(opened.error());
            }
            stream = opened.value();
            verdict = Verdict.RAN;
            silence = stages.timeouts().firstToken();
        }
        return read(silence);
    }

    private Result<Step, AttemptOutcome.Failed> read(Duration silence) {
        while (true) {
            Result<TokenStream.Item, EngineError> item = stream.next(silence);
            if (!item.isOk()) {
                return Result.err(stages.decodeFailed(item.error(), outputTokens));
            }
            switch (item.value()) {
                case TokenStream.End end -> {
                    return Result.ok(whole(end));
                }
                case TokenStream.Token token when token.index() < outputTokens -> {
                    // given already, by an earlier attempt
                }
                case TokenStream.Token token
                when token.index() > outputTokens -> {
                    String detail = "token " + outputTokens + " is missing";
                    return Result.err(stages.decodeFailed(
                            new EngineError.TransportFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, detail),
                            outputTokens));
                }
                case TokenStream.Token token -> {
                    return Result.ok(give(token));
                }
            }
        }
    }

    private Step whole(TokenStream.End end) {
        stream.close();
        stream = null;
        stages.completed();
        driver.post(new RoutingEvent.AttemptEnded(stages.attempt(), new AttemptOutcome.Completed(outputTokens)));
        return new Completed(end.finish());
    }

    private Step give(TokenStream.Token token) {
        generated.append(token.text());
        if (outputTokens++ == 0) {
            driver.post(new RoutingEvent.FirstTokenSent(stages.attempt()));
        }
        return new Token(token.text());
    }
}
