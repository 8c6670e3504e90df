package org.mangoridge.peer.membership;

/** How a run of an instance went. */
public enum GoneReason {
    /** It did not answer and did not contradict; it may yet return. */
    DEAD,
    /** A later run of the same instance, or another instance at its address, took its place. */
    REPLACED,
    /** It said that it stopped. */
    STOPPED
}
