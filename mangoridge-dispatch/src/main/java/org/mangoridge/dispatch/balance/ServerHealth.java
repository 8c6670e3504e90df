package org.mangoridge.dispatch.balance;

import java.time.Duration;

/**
 * Error share, mean latency and ejection of one server, as this instance observes them; confined to one thread.
 *
 * <p>A server that does not answer is ejected for a time that doubles with each consecutive ejection; afterwards a
 * single trial request is sent. Failed answers do not eject a server but make balancers prefer others.
 */
final class ServerHealth {

    private static final Duration INITIAL_EJECTION = Duration.ofMillis(500);
    private static final Duration MAX_EJECTION = Duration.ofSeconds(4);
    /** Weight of one answer in the moving averages, which reflect about the last ten answers. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Half-life of the averages without answers, so that a server without requests is tried again. */
    private static final double HALF_LIFE_SECONDS = 4;

    /** Time after an answer during which the mean latency does not decay. */
    private static final double LATENCY_FRESH_SECONDS = 1;

    private double errorShare;
    private double latencyMillis;
    private Duration updated = Duration.ZERO;
    private Duration ejectedUntil = Duration.ZERO;
    private int ejections;
    private boolean trialInFlight;

    /** Records an answer and its latency. */
    void recordAnswer(boolean failed, Duration took, Duration now) {
        decay(now);
        errorShare += SAMPLE_WEIGHT * ((failed ? 1 : 0) - errorShare);
        double millis = took.toNanos() / 1e6;
        latencyMillis = latencyMillis == 0 ? millis : latencyMillis + 2 * SAMPLE_WEIGHT * (millis - latencyMillis);
        if (!failed) {
            ejections = 0;
        }
        trialInFlight = false;
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

    /** Tells whether the server may be sent a request where the alternative is a refusal: one answer was lost so far. */
    boolean isUsableInNeed(Duration now) {
        return isUsable(now) || ejections == 1;
    }

    /** Records that a request is sent to the server. */
    void recordSent() {
        if (ejections > 0) {
            trialInFlight = true;
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

    private void decay(Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        if (seconds > 0) {
            errorShare *= Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
            latencyMillis *= Math.pow(0.5, Math.max(0, seconds - LATENCY_FRESH_SECONDS) / HALF_LIFE_SECONDS);
            updated = now;
        }
    }
}
