package org.mangoridge.routing;

import java.util.ArrayList;
import java.util.List;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.Verdict;

/** The state of a request and its attempts, from arrival to answer. */
final class TrackedRequest {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_EXCLUDED_SERVERS = 4;
    private static final int MAX_CAPACITY_WAITS = 12;

    private final RequestFacts facts;
    private final List<ServerId> excludedServers = new ArrayList<>();
    private AttemptId attempt;
    private Candidate candidate;
    private double uncalibratedPrefillSeconds;
    private long placedNanos;
    private long prefillDoneNanos;
    private long firstTokenNanos;
    private double slotsAtFirstToken;
    private int failures;
    private int outputTokens;
    private int capacityWaits;
    private boolean running;
    private Verdict verdict = Verdict.NOT_RUN;

    TrackedRequest(RequestFacts facts) {
        this.facts = facts;
    }

    RequestFacts facts() {
        return facts;
    }

    /** Returns the servers that failed this request most recently; the next attempt avoids them. */
    List<ServerId> excludedServers() {
        return excludedServers;
    }

    /** Returns the current or last attempt, or null. */
    AttemptId attempt() {
        return attempt;
    }

    /** Returns the placement of the last attempt, or null. */
    Candidate candidate() {
        return candidate;
    }

    int failures() {
        return failures;
    }

    int outputTokens() {
        return outputTokens;
    }

    /** Returns whether an attempt is running. */
    boolean isRunning() {
        return running;
    }

    /** Returns the verdict over all attempts: whether the request may have run. */
    Verdict verdict() {
        return verdict;
    }

    long placedNanos() {
        return placedNanos;
    }

    /** Returns the forecast prefill time without the server's calibration. */
    double uncalibratedPrefillSeconds() {
        return uncalibratedPrefillSeconds;
    }

    long prefillDoneNanos() {
        return prefillDoneNanos;
    }

    long firstTokenNanos() {
        return firstTokenNanos;
    }

    double slotsAtFirstToken() {
        return slotsAtFirstToken;
    }

    /** Counts a wait for capacity and clears the excluded servers; returns false if the limit of waits is exceeded. */
    boolean tryWaitForCapacity() {
        excludedServers.clear();
        return ++capacityWaits <= MAX_CAPACITY_WAITS;
    }

    int capacityWaits() {
        return capacityWaits;
    }

    /** Starts the next attempt. */
    AttemptId startAttempt(Candidate chosen, long nowNanos) {
        attempt = attempt == null ? AttemptId.first(facts.id()) : attempt.next();
        candidate = chosen;
        uncalibratedPrefillSeconds =
                chosen.prefillSeconds() / chosen.prefill().prefillCalibration().ratio(nowNanos);
        placedNanos = nowNanos;
        prefillDoneNanos = 0;
        firstTokenNanos = 0;
        running = true;
        return attempt;
    }

    void recordPrefillDone(long nowNanos) {
        prefillDoneNanos = nowNanos;
        verdict = Verdict.RAN;
    }

    void recordFirstToken(long nowNanos) {
        firstTokenNanos = nowNanos;
        slotsAtFirstToken = candidate.decode().estimate().slotsUsed();
        verdict = Verdict.RAN;
    }

    /** Ends the running attempt. */
    void endAttempt() {
        running = false;
    }

    /** Records a failed attempt. */
    void recordFailure(AttemptOutcome.Failed failed) {
        failures++;
        outputTokens = Math.max(outputTokens, failed.outputTokens());
        verdict = verdict.worse(outputTokens > 0 ? Verdict.RAN : failed.verdict());
        if (excludedServers.size() >= MAX_EXCLUDED_SERVERS) {
            excludedServers.remove(0);
        }
        excludedServers.add(failed.server());
    }

    /** Returns the seconds from arrival to {@code nowNanos}. */
    double ageSeconds(long nowNanos) {
        return (nowNanos - facts.arrived().toNanos()) / NANOS_PER_SECOND;
    }
}
