package org.mangoridge.core.verdict;

/** Says whether a request may have run at a backend server. */
public enum Verdict {
    /** The request was not run and will not be run by this attempt. */
    NOT_RUN("not-run"),
    /** The request may have run; nothing proves either way. */
    MAY_HAVE_RUN("may-have-run"),
    /** The request ran, at least in part. */
    RAN("ran");

    private final String text;

    Verdict(String text) {
        this.text = text;
    }

    /** Returns the word that callers see. */
    public String text() {
        return text;
    }

    /** Returns the one of both that says more of the request ran. */
    public Verdict worse(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
