package org.mangoridge.routing;

/** A token bucket that limits retries to a share of the arriving requests. */
final class RetryBudget {

    private static final double RETRIES_PER_REQUEST = 0.09;
    private static final double MAX_TOKENS = 20;
    private static final double INITIAL_TOKENS = 4;

    private double tokens = INITIAL_TOKENS;

    /** Adds the share of a retry that an arriving request allows. */
    void deposit() {
        tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
    }

    /** Takes the token of one retry; returns false if there is none. */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
