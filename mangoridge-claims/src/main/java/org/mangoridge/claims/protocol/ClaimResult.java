package org.mangoridge.claims.protocol;

import java.time.Instant;

import org.mangoridge.core.verdict.AttemptProgress;

/** The result of a call with an idempotency key, as reported to its caller. */
public sealed interface ClaimResult {

    /**
     * The call ran in this attempt and its complete answer was received.
     *
     * @param answer the answer
     */
    record Completed(RecordedAnswer answer) implements ClaimResult {}

    /**
     * The call ran in an earlier attempt, whose outcome is recorded.
     *
     * @param answer the recorded outcome
     */
    record Replayed(RecordedAnswer answer) implements ClaimResult {}

    /**
     * This attempt was not dispatched, or provably reached no server.
     *
     * @param cause why the call did not run
     */
    record NotRun(Cause cause) implements ClaimResult {}

    /**
     * This attempt ended without a complete answer, after part of the call may have reached a server.
     *
     * @param progress the last step that the attempt reached
     */
    record Incomplete(AttemptProgress progress) implements ClaimResult {}

    /**
     * Another attempt is in progress.
     *
     * @param until the latest time at which it ends
     */
    record InProgress(Instant until) implements ClaimResult {}

    /**
     * An earlier attempt ended without a known outcome.
     *
     * @param since when it claimed the key
     */
    record OutcomeUnknown(Instant since) implements ClaimResult {}

    /** The key was used with another request. */
    record KeyReused() implements ClaimResult {}

    /** Why a call did not run. */
    enum Cause {
        /** The platform could not be read or written, so the key could not be claimed. */
        PLATFORM_UNAVAILABLE,
        /** No server could be reached. */
        SERVER_UNREACHABLE,
        /** The time limit of the call had passed before it was dispatched. */
        DEADLINE_PASSED,
        /** An operator settled the attempt as not run. */
        SETTLED_AS_NOT_RUN
    }
}
