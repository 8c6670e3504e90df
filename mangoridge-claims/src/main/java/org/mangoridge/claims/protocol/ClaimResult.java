package org.mangoridge.claims.protocol;

import java.time.Instant;

import org.mangoridge.core.verdict.AttemptProgress;

/** What a caller is told about a call with an idempotency key. */
public sealed interface ClaimResult {

    /**
     * The call ran in this attempt.
     *
     * @param answer the answer
     */
    record Completed(RecordedAnswer answer) implements ClaimResult {}

    /**
     * The call ran earlier and its outcome is recorded.
     *
     * @param answer the recorded outcome
     */
    record Replayed(RecordedAnswer answer) implements ClaimResult {}

    /**
     * This attempt was not dispatched, or provably reached no server.
     *
     * @param cause why
     */
    record NotRun(Cause cause) implements ClaimResult {}

    /**
     * This attempt stopped after a byte of it may have reached a server.
     *
     * @param progress how far it came
     */
    record Incomplete(AttemptProgress progress) implements ClaimResult {}

    /**
     * Another attempt is in progress.
     *
     * @param until when it has ended at the latest
     */
    record InProgress(Instant until) implements ClaimResult {}

    /**
     * An earlier attempt ended without a known outcome.
     *
     * @param since when it was made
     */
    record OutcomeUnknown(Instant since) implements ClaimResult {}

    /** The key was used with another request. */
    record KeyReused() implements ClaimResult {}

    /** Why an attempt did not run. */
    enum Cause {
        /** The claim could not be recorded. */
        PLATFORM_UNAVAILABLE,
        /** No server could be reached. */
        SERVER_UNREACHABLE,
        /** The time for the call had passed before it was dispatched. */
        DEADLINE_PASSED,
        /** An operator settled the attempt as not run. */
        SETTLED_AS_NOT_RUN
    }
}
