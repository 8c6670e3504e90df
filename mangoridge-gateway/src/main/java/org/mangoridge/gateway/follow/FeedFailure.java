package org.mangoridge.gateway.follow;

/**
 * Why the store did not give what was asked for.
 *
 * @param kind what to do about it
 * @param detail what happened
 */
public record FeedFailure(Kind kind, String detail) {

    /** What a failure means for the reader. */
    public enum Kind {
        /** The store no longer has the history that was asked for; the objects must be listed anew. */
        HISTORY_GONE,
        /** The store answers, and asks for fewer calls. */
        TOO_MANY_CALLS,
        /** The store did not answer, or could not. */
        UNAVAILABLE
    }
}
