package org.mangoridge.peer.membership;

/** How an instance describes its own state. */
public enum ServingState {
    /** It takes new requests. */
    SERVING,
    /** It finishes its requests and takes no new ones. */
    DRAINING,
    /** It has ended its last request and stops. */
    STOPPED
}
