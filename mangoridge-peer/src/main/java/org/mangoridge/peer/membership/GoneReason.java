package org.mangoridge.peer.membership;

/** Why a run of an instance is gone. */
public enum GoneReason {
    /** It did not answer and did not refute the suspicion in time; it may still come back. */
    DEAD,
    /** A later run of the same instance, or another instance at its address, replaced it. */
    REPLACED,
    /** It reported that it stopped. */
    STOPPED
}
