package org.mangoridge.core.verdict;

/** Whether a request may have run at a backend server; a later constant means that more of it may have run. */
public enum Verdict {
    /** The request did not run, and this attempt will not run it. */
    NOT_RUN("not-run"),
    /** The request may have run; it is not known whether it did. */
    MAY_HAVE_RUN("may-have-run"),
    /** The request ran, at least in part. */
    RAN("ran");

    private final String text;

    Verdict(String text) {
        this.text = text;
    }

    /** Returns the text sent to callers. */
    public String text() {
        return text;
    }

    /** Returns the later of the two verdicts, {@link #RAN} being the last. */
    public Verdict worse(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
