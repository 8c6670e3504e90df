package org.mangoridge.claims.protocol;

import java.util.Optional;

import org.mangoridge.core.verdict.AttemptProgress;

/** What came of the last action of a {@link ClaimMachine}. */
public sealed interface ClaimEvent {

    /**
     * The write took effect.
     *
     * @param version the object's new version
     */
    record Written(long version) implements ClaimEvent {}

    /** The write met another version and never takes effect. */
    record Conflict() implements ClaimEvent {}

    /** The write never reached the platform. */
    record NotWritten() implements ClaimEvent {}

    /** The write may have taken effect, or may yet. */
    record Unknown() implements ClaimEvent {}

    /**
     * The claim was read.
     *
     * @param claim the claim, empty if there is none
     */
    record Read(Optional<StoredClaim> claim) implements ClaimEvent {}

    /** The claim could not be read. */
    record ReadFailed() implements ClaimEvent {}

    /**
     * The backend server's whole answer came.
     *
     * @param answer the answer as it will be recorded
     */
    record Answered(RecordedAnswer answer) implements ClaimEvent {}

    /**
     * The attempt stopped without a whole answer.
     *
     * @param progress how far it came
     */
    record Stopped(AttemptProgress progress) implements ClaimEvent {}

    /** The caller was told. */
    record Replied() implements ClaimEvent {}

    /** A pause is over. */
    record BackOffElapsed() implements ClaimEvent {}
}
