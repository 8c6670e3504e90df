package org.mangoridge.entry.lifecycle;

/** How far a shutdown came; phases follow each other in this order, some are passed over. */
public enum DrainPhase {
    /** No shutdown was asked for. */
    SERVING,
    /** Readiness fails, and requests are still taken while the balancer notices. */
    LEAVING,
    /** New requests are refused, and those in progress finish. */
    REFUSING,
    /** Requests in progress are ended with a verdict each. */
    CUTTING,
    /** No request is left, and peers are told. */
    FAREWELL,
    /** The process may end. */
    ENDED;

    /** Tells whether new requests are taken. */
    public boolean takesRequests() {
        return this == SERVING || this == LEAVING;
    }
}
