package org.mangoridge.peer.membership;

/** Whether an instance is believed to be alive. Of two records with the same heartbeat, the later constant wins. */
public enum Liveness {
    /** It answers probes. */
    ALIVE,
    /** It did not answer a probe and has some time to refute the suspicion. */
    SUSPECT,
    /** It did not answer and did not refute the suspicion in time. */
    DEAD
}
