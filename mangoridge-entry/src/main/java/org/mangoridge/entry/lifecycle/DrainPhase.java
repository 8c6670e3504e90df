package org.mangoridge.entry.lifecycle;

/** The phases of a shutdown, in order; {@link #CUTTING} is skipped if all requests finish in time. */
public enum DrainPhase {
    /** No shutdown was requested. */
    SERVING,
    /** Readiness checks fail, but requests are accepted until the load balancer has taken the instance out. */
    LEAVING,
    /** New requests are refused while those in progress finish. */
    REFUSING,
    /** The requests in progress are cut; each caller receives a verdict. */
    CUTTING,
    /** No requests remain, and the stop is announced to peers. */
    FAREWELL,
    /** The process may exit. */
    ENDED;

    /** Returns whether new requests are accepted. */
    public boolean takesRequests() {
        return this == SERVING || this == LEAVING;
    }
}
