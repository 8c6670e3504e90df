package org.mangoridge.routing;

/** What arrives at this instance for one service, and how long its attempts hold a slot. */
final class Demand {

    private static final double WINDOW_SECONDS = 5;
    private static final double INITIAL_SLOT_SECONDS = 4;
    private static final double WEIGHT_OF_NEWEST = 0.05;

    private final Rate urgentRequests = new Rate(WINDOW_SECONDS);
    private final Rate urgentPrefillTokens = new Rate(WINDOW_SECONDS);
    private final Rate refused = new Rate(WINDOW_SECONDS);
    private final Average slotSeconds = new Average(INITIAL_SLOT_SECONDS, WEIGHT_OF_NEWEST);
    private double tightestFirstTokenSeconds = Double.MAX_VALUE;

    /** Counts a request that can't wait. */
    void urgentArrived(RequestFacts facts, long nowNanos) {
        urgentRequests.add(1, nowNanos);
        urgentPrefillTokens.add(facts.promptTokens(), nowNanos);
        tightestFirstTokenSeconds = Math.min(
                tightestFirstTokenSeconds, facts.callerClass().firstToken().toNanos() / 1e9);
    }

    /** Counts a refused request. */
    void refused(long nowNanos) {
        refused.add(1, nowNanos);
    }

    /** Learns how long an attempt held its slot. */
    void slotHeld(double seconds) {
        slotSeconds.add(seconds);
    }

    double urgentPerSecond(long nowNanos) {
        return urgentRequests.perSecond(nowNanos);
    }

    double urgentPrefillTokensPerSecond(long nowNanos) {
        return urgentPrefillTokens.perSecond(nowNanos);
    }

    double refusedPerSecond(long nowNanos) {
        return refused.perSecond(nowNanos);
    }

    double slotSeconds() {
        return slotSeconds.value();
    }

    /** Returns the tightest first-token target of requests that can't wait. */
    double tightestFirstTokenSeconds() {
        return tightestFirstTokenSeconds;
    }
}
