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

/**
 * Executes calls that carry an idempotency key at most once, by recording a claim in the platform before each.
 *
 * <p>Calls block. Safe for use by several threads.
 */
public final class ClaimedCalls {

    private static final int WRITES_PER_CALL = 2; // the claim and its outcome
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final Duration OVERDUE_MARGIN = Duration.ofSeconds(5);
    private static final Duration PLATFORM_RETRY_DELAY = Duration.ofSeconds(2);
    private static final Duration SERVER_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_IN_PROGRESS_RETRY_DELAY = Duration.ofSeconds(5);

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

    /**
     * Returns an executor of calls.
     *
     * @param writes the token bucket that limits claim writes
     * @param owner this instance, which each claim names as its holder
     */
    public static ClaimedCalls create(ClaimRunner runner, TokenBucket writes, Owner owner, Clock clock) {
        return new ClaimedCalls(runner, writes, owner, clock);
    }

    /** Runs one attempt with the idempotency key {@code key}; calls {@code send} at most once to forward the call. */
    Result<ServiceAnswer, Refusal> call(
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
                    "the Idempotency-Key header must have 1 to " + MAX_KEY_CHARACTERS + " characters"));
        }
        Optional<Duration> wait = writes.take(WRITES_PER_CALL);
        if (wait.isPresent()) {
            return Result.err(
                    Refusal.notRun(RefusalReason.CLAIM_LIMIT, "the rate limit of claim writes is reached", wait.get()));
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
        ClaimResult result = runner.run(claim, () -> toClaimEvent(holder.keep(send.get())));
        return toResult(result, holder);
    }

    private static ClaimEvent toClaimEvent(Result<HttpAnswer, EngineError> sent) {
        return switch (sent) {
            case Result.Ok<HttpAnswer, EngineError> ok ->
                new ClaimEvent.Answered(
                        ServiceAnswer.of(ok.value()).answer().within(ClaimObjects.MAX_RECORDED_BODY_BYTES));
            case Result.Err<HttpAnswer, EngineError> err -> new ClaimEvent.Stopped(progress(err.error()));
        };
    }

    private static AttemptProgress progress(EngineError error) {
        if (error instanceof EngineError.TransportFailure failure) {
            return failure.progress();
        }
        return switch (error.verdict()) {
            case NOT_RUN -> AttemptProgress.CONNECTED;
            case MAY_HAVE_RUN -> AttemptProgress.REQUEST_SENT;
            case RAN -> AttemptProgress.ANSWER_PARTLY_RECEIVED;
        };
    }

    private Result<ServiceAnswer, Refusal> toResult(ClaimResult result, AnswerHolder holder) {
        return switch (result) {
            case ClaimResult.Completed completed -> Result.ok(holder.answer());
            case ClaimResult.Replayed replayed
            when replayed.answer().kept() -> Result.ok(new ServiceAnswer(replayed.answer(), true));
            case ClaimResult.Replayed replayed ->
                Result.err(Refusal.of(
                        RefusalReason.ANSWER_NOT_KEPT, Verdict.RAN, "the call ran, but its answer was not stored"));
            case ClaimResult.NotRun notRun -> Result.err(notRun(notRun.cause()));
            case ClaimResult.Incomplete incomplete ->
                Result.err(Refusal.of(
                        RefusalReason.SERVER_FAILED,
                        incomplete.progress().verdict(),
                        "the backend server's answer was lost; retry with the same Idempotency-Key"));
            case ClaimResult.InProgress inProgress ->
                Result.err(new Refusal(
                        RefusalReason.IN_PROGRESS,
                        Verdict.MAY_HAVE_RUN,
                        "another attempt with this Idempotency-Key is in progress",
                        Optional.of(retryDelay(inProgress.until()))));
            case ClaimResult.OutcomeUnknown unknown ->
                Result.err(Refusal.of(
                        RefusalReason.OUTCOME_UNKNOWN,
                        Verdict.MAY_HAVE_RUN,
                        "the outcome of an attempt made at " + unknown.since()
                                + " is unknown; the call is not run again"));
            case ClaimResult.KeyReused reused ->
                Result.err(Refusal.notRun(
                        RefusalReason.KEY_REUSED, "the Idempotency-Key was already used with a different request"));
        };
    }

    private static Refusal notRun(ClaimResult.Cause cause) {
        return switch (cause) {
            case PLATFORM_UNAVAILABLE ->
                Refusal.notRun(
                        RefusalReason.PLATFORM_UNAVAILABLE,
                        "the claim for the call could not be recorded in the platform",
                        PLATFORM_RETRY_DELAY);
            case SERVER_UNREACHABLE ->
                Refusal.notRun(RefusalReason.NO_SERVER, "no backend server could be reached", SERVER_RETRY_DELAY);
            case DEADLINE_PASSED ->
                Refusal.notRun(RefusalReason.DEADLINE, "the deadline of the call passed before it was sent");
            case SETTLED_AS_NOT_RUN ->
                Refusal.notRun(
                        RefusalReason.DEADLINE, "an operator settled the attempt as not run", SERVER_RETRY_DELAY);
        };
    }

    private Duration retryDelay(Instant until) {
        Duration left = Duration.between(clock.now(), until);
        return left.compareTo(MAX_IN_PROGRESS_RETRY_DELAY) < 0 ? left : MAX_IN_PROGRESS_RETRY_DELAY;
    }

    /** Keeps the complete answer for the caller of this attempt, even if it is too large to be stored for retries. */
    private static final class AnswerHolder {

        private ServiceAnswer answer;

        Result<HttpAnswer, EngineError> keep(Result<HttpAnswer, EngineError> sent) {
            if (sent.isOk()) {
                answer = ServiceAnswer.of(sent.value());
            }
            return sent;
        }

        ServiceAnswer answer() {
            return answer;
        }
    }

    /**
     * A complete answer for the caller.
     *
     * @param answer status, content type and body
     * @param replayed whether it was recorded by an earlier attempt
     */
    record ServiceAnswer(RecordedAnswer answer, boolean replayed) {

        static ServiceAnswer of(HttpAnswer answer) {
            String type = answer.headers().value("Content-Type").orElse("application/octet-stream");
            return new ServiceAnswer(RecordedAnswer.of(answer.status(), type, answer.body()), false);
        }
    }
}
