package org.mangoridge.dispatch.balance;

import java.time.Duration;

/**
 * Error share, mean latency and ejection of one server, as this instance observes them; confined to one thread.
 *
 * <p>A server that does not answer is ejected for a time that doubles with each consecutive ejection; afterwards a
 * single trial request is sent. Failed answers do not eject a server but make balancers prefer others.
 *
 * <p>A server that rejects requests is backed off for as long as it has rejected all of them: a moment if it was full
 * and takes others, ever longer if it takes none. Afterwards it gets one request at a time until it takes one.
 */
final class ServerHealth {

    private static final Duration INITIAL_EJECTION = Duration.ofMillis(500);
    private static final Duration MAX_EJECTION = Duration.ofSeconds(4);
    /** Shortest back-off, about the time in which a server that was full completes a request. */
    private static final Duration MIN_BACK_OFF = Duration.ofMillis(20);
    /** Interval of requests to a server that is backed off, while no other server of its service can be used. */
    private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(1);
    /** Weight of one answer in the moving averages, which reflect about the last ten answers. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Half-life of the averages without answers, so that a server without requests is tried again. */
    private static final double HALF_LIFE_SECONDS = 4;

    /** Time after an answer during which the mean latency does not decay. */
    private static final double LATENCY_FRESH_SECONDS = 1;

    private double errorShare;
    private double latencyMillis;
    private Duration updated = Duration.ZERO;
    private Duration lastAnswer = Duration.ZERO;
    private Duration ejectedUntil = Duration.ZERO;
    private int ejections;
    private boolean trialInFlight;
    /** The first rejection since the last answer that was none; null if the last answer was none. */
    private Duration rejectingSince;

    private Duration backOff = Duration.ZERO;
    private Duration backedOffUntil = Duration.ZERO;
    /** When the server was last sent a request while it rejected them. */
    private Duration lastTrial = Duration.ZERO;
    /** How long the last rejection took to come. */
    private Duration rejectionLatency = Duration.ZERO;

    /** Records an answer that is no rejection, and its latency. */
    void recordAnswer(boolean failed, Duration took, Duration now) {
        decay(now);
        lastAnswer = now;
        errorShare += SAMPLE_WEIGHT * ((failed ? 1 : 0) - errorShare);
        double millis = took.toNanos() / 1e6;
        latencyMillis = latencyMillis == 0 ? millis : latencyMillis + 2 * SAMPLE_WEIGHT * (millis - latencyMillis);
        if (!failed) {
            ejections = 0;
        }
        trialInFlight = false;
        rejectingSince = null;
        backOff = Duration.ZERO;
        backedOffUntil = Duration.ZERO;
    }

    /**
     * Records that the server rejected a request, which says nothing about how fast it serves one; returns the length
     * of the back-off.
     */
    Duration recordRejection(Duration took, Duration now) {
        decay(now);
        errorShare += SAMPLE_WEIGHT * (1 - errorShare);
        trialInFlight = false;
        rejectionLatency = took;
        if (rejectingSince == null) {
            rejectingSince = now;
        }
        backOff = min(max(now.minus(rejectingSince), MIN_BACK_OFF), MAX_EJECTION);
        backedOffUntil = max(backedOffUntil, now.plus(backOff));
        return backOff;
    }

    /** Records that the server, which accepts connections, is silent for some time; others are preferred meanwhile. */
    void recordSilence(Duration now) {
        decay(now);
        errorShare += 2 * SAMPLE_WEIGHT * (1 - errorShare);
    }

    /** Records that the server did not answer; returns the length of the new ejection, zero if one is running. */
    Duration recordNoAnswer(Duration now) {
        recordSilence(now);
        trialInFlight = false;
        if (now.compareTo(ejectedUntil) < 0) {
            return Duration.ZERO;
        }
        Duration ejection = INITIAL_EJECTION.multipliedBy(1L << Math.min(ejections, 3));
        ejection = ejection.compareTo(MAX_EJECTION) > 0 ? MAX_EJECTION : ejection;
        ejections++;
        ejectedUntil = now.plus(ejection);
        return ejection;
    }

    /** Tells whether the server may be sent a request: it is not ejected and no trial is in flight. */
    boolean isUsable(Duration now) {
        return now.compareTo(ejectedUntil) >= 0 && !(ejections > 0 && trialInFlight);
    }

    /**
     * Tells whether the server may be sent a request where the alternative is a refusal: one answer was lost so far, and
     * if it rejects requests, it has not done so for long, or has not been asked for some time.
     */
    boolean isUsableInNeed(Duration now) {
        boolean trialDue = now.minus(lastTrial).compareTo(TRIAL_INTERVAL) >= 0;
        return (isUsable(now) || ejections == 1) && (!isRejecting() || trialDue);
    }

    /** Tells whether the server has rejected all requests for so long that it was not only full for a moment. */
    boolean isRejecting() {
        return backOff.compareTo(INITIAL_EJECTION) >= 0;
    }

    /** Returns how long the server gets no more requests because it rejected some; zero if it may get one. */
    Duration backOffRemaining(Duration now) {
        return max(backedOffUntil.minus(now), Duration.ZERO);
    }

    /** Records that a request is sent to the server. */
    void recordSent(Duration now) {
        if (ejections > 0) {
            trialInFlight = true;
        }
        if (rejectingSince != null) {
            lastTrial = now;
            // A server that is sound may serve this one for long, so that only a rejection is waited for.
            backedOffUntil = max(backedOffUntil, now.plus(min(rejectionLatency.plus(MIN_BACK_OFF), INITIAL_EJECTION)));
        }
    }

    /** Records that a request ended without evidence about the server, such as one that was cancelled. */
    void recordInconclusive() {
        trialInFlight = false;
    }

    /** Returns the decaying average of the share of failed answers, 0 to 1. */
    double errorShare(Duration now) {
        decay(now);
        return errorShare;
    }

    /** Returns the mean latency in milliseconds; 0 if none was recorded. */
    double meanLatencyMillis() {
        return latencyMillis;
    }

    /** Returns when the last answer that is no rejection was recorded; zero if none was. */
    Duration lastAnswer() {
        return lastAnswer;
    }

    /** Sets the mean latency to that of the last answer, such as when earlier ones say nothing any more. */
    void resetLatency(Duration took) {
        latencyMillis = took.toNanos() / 1e6;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private static Duration min(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    /** Returns the error share at {@code now} and leaves it as it is. */
    double previewErrorShare(Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        return seconds > 0 ? errorShare * Math.pow(0.5, seconds / HALF_LIFE_SECONDS) : errorShare;
    }

    private void decay(Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        if (seconds > 0) {
            errorShare = previewErrorShare(now);
            latencyMillis *= Math.pow(0.5, Math.max(0, seconds - LATENCY_FRESH_SECONDS) / HALF_LIFE_SECONDS);
            updated = now;
        }
    }
}
