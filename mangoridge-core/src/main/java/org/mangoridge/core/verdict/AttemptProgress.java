package org.mangoridge.core.verdict;

/** How far an attempt got before it ended. */
public enum AttemptProgress {
    /** No connection was established. */
    BEFORE_CONNECT,
    /** A connection was established, but no byte of the request was written. */
    CONNECTED,
    /** Some bytes of the request may have been written. */
    REQUEST_PARTLY_SENT,
    /** The whole request was written. */
    REQUEST_SENT,
    /** Part of the answer was received. */
    ANSWER_PARTLY_RECEIVED,
    /** The whole answer was received. */
    ANSWER_RECEIVED;

    /** Returns the verdict on a request whose only attempt ended at this point. */
    public Verdict verdict() {
        return switch (this) {
            case BEFORE_CONNECT, CONNECTED -> Verdict.NOT_RUN;
            case REQUEST_PARTLY_SENT, REQUEST_SENT -> Verdict.MAY_HAVE_RUN;
            case ANSWER_PARTLY_RECEIVED, ANSWER_RECEIVED -> Verdict.RAN;
        };
    }
}
