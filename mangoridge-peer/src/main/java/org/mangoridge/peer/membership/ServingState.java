package org.mangoridge.peer.membership;

/** The state that an instance reports of itself. */
public enum ServingState {
    /** It accepts new requests. */
    SERVING,
    /** It completes its requests and accepts no new ones. */
    DRAINING,
    /** It has completed its last request and stops. */
    STOPPED
}
