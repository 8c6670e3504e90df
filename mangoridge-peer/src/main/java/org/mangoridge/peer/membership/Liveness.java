package org.mangoridge.peer.membership;

/** What is believed of an instance; a later constant outweighs an earlier one of the same heartbeat. */
public enum Liveness {
    /** It answers. */
    ALIVE,
    /** It failed to answer and has a while to contradict. */
    SUSPECT,
    /** It failed to answer and did not contradict in time. */
    DEAD
}
