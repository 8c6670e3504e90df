package org.mangoridge.dispatch.request;

/** Specifies whether a request may be retried after a server may have started to execute it. */
public enum RetryPolicy {
    /** The request is idempotent and may be executed by several servers. */
    IDEMPOTENT,
    /** The request may be executed at most once. */
    AT_MOST_ONCE,
    /** The request is a stream that another server can resume after the last delivered event. */
    RESUMABLE;

    /** Returns whether the request may be sent to a server after another one may have started to execute it. */
    public boolean allowsRerun() {
        return this != AT_MOST_ONCE;
    }
}
