package org.mangoridge.claims.protocol;

/** Where the call that a claim stands for has come to. */
public enum ClaimState {
    /** An attempt holds the claim; the call may be running or may have run. */
    CLAIMED,
    /** The call ran and its outcome is recorded. */
    RECORDED,
    /** The attempt that held the claim was proved not to have run; another may claim. */
    RELEASED
}
