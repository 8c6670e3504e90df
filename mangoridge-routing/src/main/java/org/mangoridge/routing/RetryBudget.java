package org.mangoridge.routing;

/** Keeps retries below a share of the requests that arrive. */
final class RetryBudget {

    private static final double RETRIES_PER_REQUEST = 0.09;
    private static final double MAX_SAVED = 20;
    private static final double INITIAL = 4;

    private double saved = INITIAL;

    /** Counts a request that arrived. */
    void deposit() {
        saved = Math.min(MAX_SAVED, saved + RETRIES_PER_REQUEST);
    }

    /** Takes one retry; false if none is left. */
    boolean tryAcquire() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
