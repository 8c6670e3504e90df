package org.mangoridge.claims.store;

/** What an operator found out about a stuck claim. */
public enum Settlement {
    /** The call ran; retries are told so. */
    RAN,
    /** The call did not run and can't any more; a retry runs it. */
    NOT_RUN
}
