package org.mangoridge.routing;

import java.util.ArrayList;
import java.util.List;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.Verdict;

/** A request from its arrival to its answer. */
final class TrackedRequest {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_AVOIDED = 4;
    private static final int MAX_WAITS_FOR_ROOM = 12;

    private final RequestFacts facts;
    private final List<ServerId> avoided = new ArrayList<>();
    private AttemptId attempt;
    private Candidate candidate;
    private double plainPrefillSeconds;
    private long placedNanos;
    private long prefillDoneNanos;
    private long firstTokenNanos;
    private double slotsAtFirstToken;
    private int failures;
    private int outputTokens;
    private int waitsForRoom;
    private boolean running;
    private Verdict verdict = Verdict.NOT_RUN;

    TrackedRequest(RequestFacts facts) {
        this.facts = facts;
    }

    RequestFacts facts() {
        return facts;
    }

    /** Returns the servers that failed it last. */
    List<ServerId> excludedServers() {
        return avoided;
    }

    /** Returns the attempt that runs or ran last, or null. */
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

    /** Tells whether an attempt runs. */
    boolean isRunning() {
        return running;
    }

    /** Returns whether it may have run, over all its attempts. */
    Verdict verdict() {
        return verdict;
    }

    long placedNanos() {
        return placedNanos;
    }

    /** Returns the forecast of the prefill without the server's calibration. */
    double uncalibratedPrefillSeconds() {
        return plainPrefillSeconds;
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

    /** Counts one more wait for room; false if it has waited often enough. */
    boolean tryWaitForCapacity() {
        avoided.clear();
        return ++waitsForRoom <= MAX_WAITS_FOR_ROOM;
    }

    int capacityWaits() {
        return waitsForRoom;
    }

    /** Begins the next attempt. */
    AttemptId startAttempt(Candidate chosen, long nowNanos) {
        attempt = attempt == null ? AttemptId.first(facts.id()) : attempt.next();
        candidate = chosen;
        plainPrefillSeconds =
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

    /** Ends the attempt that runs. */
    void endAttempt() {
        running = false;
    }

    /** Takes in how an attempt failed. */
    void recordFailure(AttemptOutcome.Failed failed) {
        failures++;
        outputTokens = Math.max(outputTokens, failed.outputTokens());
        verdict = verdict.worse(outputTokens > 0 ? Verdict.RAN : failed.verdict());
        if (avoided.size() >= MAX_AVOIDED) {
            avoided.remove(0);
        }
        avoided.add(failed.server());
    }

    /** Returns the seconds from arrival to {@code nowNanos}. */
    double ageSeconds(long nowNanos) {
        return (nowNanos - facts.arrived().toNanos()) / NANOS_PER_SECOND;
    }
}
