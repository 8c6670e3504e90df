package org.mangoridge.gateway.exchange;

import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.gateway.request.RetryPolicy;

/** Decides whether a request may be sent to another server; pure. */
final class RepeatDecision {

    /** Sends of one request, whether the servers ran it or not; beyond that the fleet is not helped by more. */
    static final int MAX_SENDS = 3;

    private RepeatDecision() {}

    /**
     * Tells whether a request may be sent once more, budget and time permitting.
     *
     * @param rule what may be repeated
     * @param last whether the last server may have run it
     * @param runs servers that may have run it so far
     * @param sends servers that were sent it so far
     * @param maxRuns the most servers that may run it
     */
    static boolean maySendAgain(RetryPolicy rule, Verdict last, int runs, int sends, int maxRuns) {
        if (sends >= MAX_SENDS) {
            return false;
        }
        if (runs == 0 && last == Verdict.NOT_RUN) {
            return true;
        }
        return rule.allowsRerun() && runs < maxRuns;
    }
}
