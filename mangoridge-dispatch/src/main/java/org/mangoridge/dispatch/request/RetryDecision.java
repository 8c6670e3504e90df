package org.mangoridge.dispatch.request;

import org.mangoridge.core.verdict.Verdict;

/** Decides whether a request may be sent to another server. */
public final class RetryDecision {

    /** Maximum number of times that a request is sent, whether or not it is executed; more would only add load. */
    public static final int MAX_SENDS = 3;

    private RetryDecision() {}

    /**
     * Returns whether a request may be sent again, if the retry budget and the deadline permit it.
     *
     * @param policy the retry policy of the route
     * @param last whether the last server may have executed the request
     * @param runs the number of servers that may have executed it so far
     * @param sends the number of times that it has been sent so far
     * @param maxRuns the maximum number of servers that may execute it
     */
    public static boolean mayRetry(RetryPolicy policy, Verdict last, int runs, int sends, int maxRuns) {
        if (sends >= MAX_SENDS) {
            return false;
        }
        if (runs == 0 && last == Verdict.NOT_RUN) {
            return true;
        }
        return policy.allowsRerun() && runs < maxRuns;
    }
}
