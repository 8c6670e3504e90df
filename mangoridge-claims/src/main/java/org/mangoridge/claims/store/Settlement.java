package org.mangoridge.claims.store;

/** An operator's finding on the call of a stuck claim. */
public enum Settlement {
    /** The call ran; a retry is refused with this verdict. */
    RAN,
    /** The call did not run and no longer can; a retry runs it. */
    NOT_RUN
}
