package org.mangoridge.claims.protocol;

import java.util.Optional;

import org.mangoridge.core.verdict.AttemptProgress;

/** The outcome of the last action of a {@link ClaimMachine}. */
public sealed interface ClaimEvent {

    /**
     * The write took effect.
     *
     * @param version the object's new version
     */
    record Written(long version) implements ClaimEvent {}

    /** The object had another version; the write never takes effect. */
    record Conflict() implements ClaimEvent {}

    /** The write never reached the platform. */
    record NotWritten() implements ClaimEvent {}

    /** The outcome of the write is unknown: it may have taken effect, or may still do so. */
    record Unknown() implements ClaimEvent {}

    /**
     * The claim was read.
     *
     * @param claim the claim, empty if the store holds none
     */
    record Read(Optional<StoredClaim> claim) implements ClaimEvent {}

    /** The claim could not be read. */
    record ReadFailed() implements ClaimEvent {}

    /**
     * The backend server's complete answer was received.
     *
     * @param answer the answer to record
     */
    record Answered(RecordedAnswer answer) implements ClaimEvent {}

    /**
     * The attempt ended without a complete answer.
     *
     * @param progress the last step that it reached
     */
    record Stopped(AttemptProgress progress) implements ClaimEvent {}

    /** The caller has its reply. */
    record Replied() implements ClaimEvent {}

    /** A back-off has elapsed. */
    record BackOffElapsed() implements ClaimEvent {}
}
