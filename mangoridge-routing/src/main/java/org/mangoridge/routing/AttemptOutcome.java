package org.mangoridge.routing;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.Verdict;

/** The outcome of an attempt. */
public sealed interface AttemptOutcome {

    /**
     * The whole answer was sent to the caller.
     *
     * @param outputTokens the tokens generated
     */
    record Completed(int outputTokens) implements AttemptOutcome {}

    /**
     * The caller disconnected before the answer was complete.
     *
     * @param outputTokens the tokens sent to the caller
     */
    record CallerGone(int outputTokens) implements AttemptOutcome {}

    /**
     * A server failed the attempt.
     *
     * @param server the server that failed
     * @param kind how it failed
     * @param verdict whether the work may have run
     * @param outputTokens the tokens sent to the caller so far
     */
    record Failed(ServerId server, FailureKind kind, Verdict verdict, int outputTokens) implements AttemptOutcome {

        /** Returns a copy of this failure with another server and kind. */
        public Failed attributedTo(ServerId otherServer, FailureKind otherKind) {
            return new Failed(otherServer, otherKind, verdict, outputTokens);
        }

        /** Returns this failure with its verdict raised to {@code least} if it is less severe. */
        public Failed withVerdictAtLeast(Verdict least) {
            return verdict.compareTo(least) >= 0 ? this : new Failed(server, kind, least, outputTokens);
        }
    }

    /** Ways in which a server fails an attempt. */
    enum FailureKind {
        /** The connection could not be established. */
        UNREACHABLE,
        /** The server had no free capacity. */
        FULL,
        /** The server no longer held the KV cache of the prefill. */
        EVICTED,
        /** A KV cache transfer timed out. */
        STALLED,
        /** The server stopped responding or the connection broke. */
        BROKEN,
        /** The server answered with an error. */
        ERROR
    }
}
