package org.mangoridge.entry.lifecycle;

/** A step that the shutdown state machine requests. */
public enum DrainAction {
    /** Announce to peers that this instance is draining. */
    ANNOUNCE_DRAINING,
    /** Cut the requests in progress; each caller receives a verdict. */
    CUT_REQUESTS,
    /** Announce to peers that this instance has stopped. */
    ANNOUNCE_STOPPED,
    /** Let the process exit. */
    END
}
