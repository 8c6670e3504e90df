package org.mangoridge.routing;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.Verdict;

/** How an attempt ended. */
public sealed interface AttemptOutcome {

    /**
     * The caller has the whole answer.
     *
     * @param outputTokens the tokens generated
     */
    record Completed(int outputTokens) implements AttemptOutcome {}

    /**
     * The caller went before the answer was complete.
     *
     * @param outputTokens the tokens that it was sent
     */
    record CallerGone(int outputTokens) implements AttemptOutcome {}

    /**
     * A server failed.
     *
     * @param server the server
     * @param kind how
     * @param verdict whether the work may have run
     * @param outputTokens the tokens that the caller has been sent
     */
    record Failed(ServerId server, FailureKind kind, Verdict verdict, int outputTokens) implements AttemptOutcome {

        /** Returns the same failure as one of another server and kind. */
        public Failed attributedTo(ServerId otherServer, FailureKind otherKind) {
            return new Failed(otherServer, otherKind, verdict, outputTokens);
        }

        /** Returns the same failure with a verdict no milder than {@code least}. */
        public Failed withVerdictAtLeast(Verdict least) {
            return verdict.compareTo(least) >= 0 ? this : new Failed(server, kind, least, outputTokens);
        }
    }

    /** Ways in which a server fails an attempt. */
    enum FailureKind {
        /** It can't be connected to. */
        UNREACHABLE,
        /** It has no room. */
        FULL,
        /** It no longer holds the prefill result. */
        EVICTED,
        /** It brought a transfer to no end in time. */
        STALLED,
        /** It went silent or its connection broke. */
        BROKEN,
        /** It answered with an error. */
        ERROR
    }
}
