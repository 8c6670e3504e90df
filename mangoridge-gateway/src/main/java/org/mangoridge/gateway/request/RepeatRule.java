package org.mangoridge.gateway.request;

/** Says what may be done with a request that a server may already have begun. */
public enum RepeatRule {
    /** The request is idempotent and may run at several servers. */
    IDEMPOTENT,
    /** The request may run once at most. */
    AT_MOST_ONCE,
    /** The request is a stream that another server may go on with after the last event that was delivered. */
    RESUMABLE;

    /** Tells whether a server may be sent the request after another may have begun it. */
    public boolean mayRunAgain() {
        return this != AT_MOST_ONCE;
    }
}
