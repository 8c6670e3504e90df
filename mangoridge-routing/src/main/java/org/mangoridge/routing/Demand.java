package org.mangoridge.routing;

/** What arrives at this instance for one service, and how long its attempts hold a slot. */
final class Demand {

    private static final double WINDOW_SECONDS = 8;
    private static final double INITIAL_SLOT_SECONDS = 3;
    private static final double WEIGHT_OF_NEWEST = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;

    private final DecayingRate urgentRequests = new DecayingRate(WINDOW_SECONDS);
    private final DecayingRate urgentPrefillTokens = new DecayingRate(WINDOW_SECONDS);
    private final DecayingRate refused = new DecayingRate(WINDOW_SECONDS);
    private final MovingAverage urgentSlotSeconds = new MovingAverage(INITIAL_SLOT_SECONDS, WEIGHT_OF_NEWEST);
    private final MovingAverage patientSlotSeconds = new MovingAverage(INITIAL_SLOT_SECONDS, WEIGHT_OF_NEWEST);
    private double tightestFirstTokenSeconds = Double.MAX_VALUE;
    private int patientInFlight;

    /** Counts a request that can't wait. */
    void recordUrgentArrival(RequestFacts facts, long nowNanos) {
        urgentRequests.add(1, nowNanos);
        tightestFirstTokenSeconds = Math.min(
                tightestFirstTokenSeconds, facts.callerClass().firstToken().toNanos() / NANOS_PER_SECOND);
    }

    /** Counts prompt tokens that were computed for a request that can't wait. */
    void recordUrgentPrefill(int tokens, long nowNanos) {
        urgentPrefillTokens.add(tokens, nowNanos);
    }

    /** Counts a refused request. */
    void recordRefusal(long nowNanos) {
        refused.add(1, nowNanos);
    }

    /** Counts an attempt that starts. */
    void attemptStarted(boolean patient) {
        patientInFlight += patient ? 1 : 0;
    }

    /** Counts an attempt that ended. */
    void attemptEnded(boolean patient) {
        patientInFlight -= patient ? 1 : 0;
    }

    /** Learns how long a whole answer held its slot. */
    void recordSlotTime(boolean patient, double seconds) {
        (patient ? patientSlotSeconds : urgentSlotSeconds).add(seconds);
    }

    /** Returns how many attempts of requests that can wait run. */
    int deferrableInFlight() {
        return patientInFlight;
    }

    double urgentRequestsPerSecond(long nowNanos) {
        return urgentRequests.perSecond(nowNanos);
    }

    /** Returns the slots that requests which can't wait would use if all were served. */
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
        return patientSlotSeconds.value();
    }

    /** Returns the tightest first-token target of requests that can't wait. */
    double tightestFirstTokenSeconds() {
        return tightestFirstTokenSeconds;
    }
}
