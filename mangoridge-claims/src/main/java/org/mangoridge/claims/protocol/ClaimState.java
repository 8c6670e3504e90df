package org.mangoridge.claims.protocol;

/** The state of the call that a claim protects. */
public enum ClaimState {
    /** An attempt holds the claim; the call may be running or may have run. */
    CLAIMED,
    /** The call ran and its outcome is recorded. */
    RECORDED,
    /** The call of the attempt that held the claim provably did not run; another attempt may claim the key. */
    RELEASED
}
