package org.mangoridge.routing;

/** The request rates of one service at this instance, and how long its attempts hold a decode slot. */
final class Demand {

    private static final double RATE_WINDOW_SECONDS = 8;
    private static final double INITIAL_SLOT_SECONDS = 3;
    private static final double WEIGHT_OF_NEWEST = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;

    private final DecayingRate urgentRequests = new DecayingRate(RATE_WINDOW_SECONDS);
    private final DecayingRate urgentPrefillTokens = new DecayingRate(RATE_WINDOW_SECONDS);
    private final DecayingRate refused = new DecayingRate(RATE_WINDOW_SECONDS);
    private final MovingAverage urgentSlotSeconds = new MovingAverage(INITIAL_SLOT_SECONDS, WEIGHT_OF_NEWEST);
    private final MovingAverage deferrableSlotSeconds = new MovingAverage(INITIAL_SLOT_SECONDS, WEIGHT_OF_NEWEST);
    private double tightestFirstTokenSeconds = Double.MAX_VALUE;
    private int deferrableInFlight;

    /** Counts a request that can't wait. */
    void recordUrgentArrival(RequestFacts facts, long nowNanos) {
        urgentRequests.add(1, nowNanos);
        tightestFirstTokenSeconds = Math.min(
                tightestFirstTokenSeconds, facts.callerClass().firstToken().toNanos() / NANOS_PER_SECOND);
    }

    /** Counts prompt tokens that a prefill computed for a request that can't wait. */
    void recordUrgentPrefill(int tokens, long nowNanos) {
        urgentPrefillTokens.add(tokens, nowNanos);
    }

    /** Counts a refused request. */
    void recordRefusal(long nowNanos) {
        refused.add(1, nowNanos);
    }

    /** Counts an attempt that starts. */
    void attemptStarted(boolean deferrable) {
        deferrableInFlight += deferrable ? 1 : 0;
    }

    /** Counts an attempt that ended. */
    void attemptEnded(boolean deferrable) {
        deferrableInFlight -= deferrable ? 1 : 0;
    }

    /** Adds the time for which a completed request held its slot. */
    void recordSlotTime(boolean deferrable, double seconds) {
        (deferrable ? deferrableSlotSeconds : urgentSlotSeconds).add(seconds);
    }

    /** Returns the number of running attempts of requests that can wait. */
    int deferrableInFlight() {
        return deferrableInFlight;
    }

    double urgentRequestsPerSecond(long nowNanos) {
        return urgentRequests.perSecond(nowNanos);
    }

    /** Returns the mean number of slots that requests which can't wait would use if all were served. */
    double urgentSlots(long nowNanos) {
        return urgentRequestsPerSecond(nowNanos) * urgentSlotSeconds.value();
    }

    double urgentPrefillTokensPerSecond(long nowNanos) {
        return urgentPrefillTokens.perSecond(nowNanos);
    }

    double refusedPerSecond(long nowNanos) {
        return refused.perSecond(nowNanos);
    }

    double urgentSlotSeconds() {
        return urgentSlotSeconds.value();
    }

    double deferrableSlotSeconds() {
        return deferrableSlotSeconds.value();
    }

    /** Returns the shortest first-token target among the requests that can't wait. */
    double tightestFirstTokenSeconds() {
        return tightestFirstTokenSeconds;
    }
}
