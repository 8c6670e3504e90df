package org.mangoridge.entry.lifecycle;

/** What a shutdown asks for. */
public enum DrainAction {
    /** Tell peers that this instance drains. */
    TELL_DRAINING,
    /** End the requests in progress with a verdict each. */
    CUT_REQUESTS,
    /** Tell peers that this instance stops. */
    TELL_STOPPED,
    /** End the process. */
    END
}
