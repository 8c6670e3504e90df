package org.mangoridge.bench.load;

import java.time.Duration;

/**
 * What came of one request; times count from when it should have been sent.
 *
 * @param arrival the request
 * @param sentLate how late the generator sent it
 * @param end how it ended
 * @param requestId the id in the answer, empty if there was none
 * @param verdict the verdict in the answer, empty if there was none
 * @param firstToken when the first token came, or null
 * @param lastToken when the last token came, or null
 * @param tokens how many came
 * @param ended when the answer was complete, refused or cut
 */
public record Outcome(
        Arrival arrival,
        Duration sentLate,
        End end,
        String requestId,
        String verdict,
        Duration firstToken,
        Duration lastToken,
        int tokens,
        Duration ended) {

    private static final String NOT_RUN = "not-run";

    /** How a request ended. */
    public enum End {
        /** The whole answer came. */
        WHOLE,
        /** An answer that is not the whole one came: tokens are missing or surplus. */
        WRONG,
        /** The answer broke off after it had begun. */
        CUT,
        /** The answer is an error. */
        REFUSED,
        /** No answer came. */
        NO_ANSWER
    }

    /** Tells whether the whole answer came within both targets. */
    public boolean isGood() {
        TrafficClass targets = arrival.trafficClass();
        return end == End.WHOLE
                && firstToken.compareTo(targets.latestFirstToken()) <= 0
                && meanPerToken().compareTo(targets.perToken()) <= 0;
    }

    /** Returns the mean time between tokens, zero if fewer than two came. */
    public Duration meanPerToken() {
        return tokens < 2 ? Duration.ZERO : lastToken.minus(firstToken).dividedBy(tokens - 1);
    }

    /** Tells whether the answer says that nothing ran. */
    public boolean saysNotRun() {
        return end == End.REFUSED && verdict.equals(NOT_RUN);
    }
}
