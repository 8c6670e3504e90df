package org.mangoridge.entry.plain;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;

import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.claims.protocol.ClaimEvent;
import org.mangoridge.claims.protocol.ClaimResult;
import org.mangoridge.claims.protocol.ClaimState;
import org.mangoridge.claims.protocol.RecordedAnswer;
import org.mangoridge.claims.store.ClaimObjects;
import org.mangoridge.claims.store.ClaimRunner;
import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineError;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.settings.deployment.Service;
import org.mangoridge.web.WebRequest;

/** Makes calls that carry an idempotency key, under a claim; blocks and is safe for use by several threads. */
public final class ClaimedCalls {

    private static final int WRITES_PER_CALL = 2;
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final Duration OVERDUE_MARGIN = Duration.ofSeconds(5);
    private static final Duration PLATFORM_RETRY = Duration.ofSeconds(2);
    private static final Duration SERVER_RETRY = Duration.ofSeconds(1);
    private static final Duration LONGEST_IN_PROGRESS_RETRY = Duration.ofSeconds(5);

    private final ClaimRunner runner;
    private final TokenBucket writes;
    private final Owner owner;
    private final Clock clock;

    private ClaimedCalls(ClaimRunner runner, TokenBucket writes, Owner owner, Clock clock) {
        this.runner = runner;
        this.writes = writes;
        this.owner = owner;
        this.clock = clock;
    }

    /** Returns calls of the instance {@code owner} whose platform writes come from {@code writes}. */
    public static ClaimedCalls create(ClaimRunner runner, TokenBucket writes, Owner owner, Clock clock) {
        return new ClaimedCalls(runner, writes, owner, clock);
    }

    /** Makes one attempt with {@code key}; {@code send} passes the call on and is called at most once. */
    Result<Served, Refusal> call(
            AttemptId attempt,
            CallerId caller,
            Service service,
            String key,
            PlainTarget target,
            WebRequest web,
            Supplier<Result<HttpAnswer, EngineError>> send) {
        if (key.isBlank() || key.length() > MAX_KEY_CHARACTERS) {
            return Result.err(Refusal.notRun(
                    RefusalReason.MALFORMED,
                    "the Idempotency-Key must have 1 to " + MAX_KEY_CHARACTERS + " characters"));
        }
        Optional<Duration> wait = writes.take(WRITES_PER_CALL);
        if (wait.isPresent()) {
            return Result.err(
                    Refusal.notRun(RefusalReason.CLAIM_LIMIT, "too many claims are being written", wait.get()));
        }
        Instant now = clock.now();
        Claim claim = new Claim(
                service.id(),
                caller,
                key,
                ClaimObjects.fingerprint(
                        web.method(),
                        target.pathAndQuery(),
                        web.headers().value("Content-Type").orElse(""),
                        web.body()),
                attempt,
                owner.toString(),
                ClaimState.CLAIMED,
                now,
                now.plus(service.timeout().multipliedBy(2)).plus(OVERDUE_MARGIN),
                Optional.empty());
        AnswerHolder holder = new AnswerHolder();
        ClaimResult result = runner.run(claim, () -> event(holder.keep(send.get())));
        return told(result, holder);
    }

    private static ClaimEvent event(Result<HttpAnswer, EngineError> sent) {
        return switch (sent) {
            case Result.Ok<HttpAnswer, EngineError> ok ->
                new ClaimEvent.Answered(Served.of(ok.value()).answer().within(ClaimObjects.MAX_RECORDED_BODY_BYTES));
            case Result.Err<HttpAnswer, EngineError> err -> new ClaimEvent.Stopped(progress(err.error()));
        };
    }

    private static AttemptProgress progress(EngineError error) {
        if (error instanceof EngineError.TransportFailure lost) {
            return lost.progress();
        }
        return switch (error.verdict()) {
            case NOT_RUN -> AttemptProgress.CONNECTED;
            case MAY_HAVE_RUN -> AttemptProgress.REQUEST_SENT;
            case RAN -> AttemptProgress.ANSWER_PARTLY_RECEIVED;
        };
    }

    private Result<Served, Refusal> told(ClaimResult result, AnswerHolder holder) {
        return switch (result) {
            case ClaimResult.Completed completed -> Result.ok(holder.whole());
            case ClaimResult.Replayed replayed
            when replayed.answer().kept() -> Result.ok(new Served(replayed.answer(), true));
            case ClaimResult.Replayed replayed ->
                Result.err(Refusal.of(
                        RefusalReason.ANSWER_NOT_KEPT, Verdict.RAN, "the call ran and its answer is not held"));
            case ClaimResult.NotRun notRun -> Result.err(notRun(notRun.cause()));
            case ClaimResult.Incomplete incomplete ->
                Result.err(Refusal.of(
                        RefusalReason.SERVER_FAILED,
                        incomplete.progress().verdict(),
                        "the backend server's answer was lost; ask again with the same key"));
            case ClaimResult.InProgress inProgress ->
                Result.err(new Refusal(
                        RefusalReason.IN_PROGRESS,
                        Verdict.MAY_HAVE_RUN,
                        "an attempt with this key is in progress",
                        Optional.of(untilRetry(inProgress.until()))));
            case ClaimResult.OutcomeUnknown unknown ->
                Result.err(Refusal.of(
                        RefusalReason.OUTCOME_UNKNOWN,
                        Verdict.MAY_HAVE_RUN,
                        "an attempt of " + unknown.since() + " has no known outcome; it will not be run again"));
            case ClaimResult.KeyReused reused ->
                Result.err(
                        Refusal.notRun(RefusalReason.KEY_REUSED, "the Idempotency-Key was used with another request"));
        };
    }

    private static Refusal notRun(ClaimResult.Cause cause) {
        return switch (cause) {
            case PLATFORM_UNAVAILABLE ->
                Refusal.notRun(RefusalReason.PLATFORM_UNAVAILABLE, "the call could not be claimed", PLATFORM_RETRY);
            case SERVER_UNREACHABLE ->
                Refusal.notRun(RefusalReason.NO_SERVER, "no backend server could be reached", SERVER_RETRY);
            case DEADLINE_PASSED -> Refusal.notRun(RefusalReason.DEADLINE, "the time for the call had passed");
            case SETTLED_AS_NOT_RUN ->
                Refusal.notRun(RefusalReason.DEADLINE, "the attempt was settled as not run", SERVER_RETRY);
        };
    }

    private Duration untilRetry(Instant until) {
        Duration left = Duration.between(clock.now(), until);
        return left.compareTo(LONGEST_IN_PROGRESS_RETRY) < 0 ? left : LONGEST_IN_PROGRESS_RETRY;
    }

    /** Keeps the whole answer for its own caller, also if it is too large to be held for retries. */
    private static final class AnswerHolder {

        private Served whole;

        Result<HttpAnswer, EngineError> keep(Result<HttpAnswer, EngineError> sent) {
            if (sent.isOk()) {
                whole = Served.of(sent.value());
            }
            return sent;
        }

        Served whole() {
            return whole;
        }
    }

    /**
     * A whole answer for the caller.
     *
     * @param answer the answer
     * @param replayed whether it was recorded by an earlier attempt
     */
    record Served(RecordedAnswer answer, boolean replayed) {

        static Served of(HttpAnswer answer) {
            String type = answer.headers().value("Content-Type").orElse("application/octet-stream");
            return new Served(RecordedAnswer.of(answer.status(), type, answer.body()), false);
        }
    }
}
