package org.mangoridge.gateway.balance;

import java.time.Duration;

/**
 * What this instance has seen of one server's answers; used by one thread.
 *
 * <p>A server that does not answer is left alone for a time that doubles with each further failure; a single request
 * then tries it again. Failed answers only lower its share of the work.
 */
final class ServerHealth {

    private static final Duration FIRST_EJECTION = Duration.ofMillis(500);
    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(4);
    /** Weight of one answer in the moving averages, about the last ten answers. */
    private static final double WEIGHT = 0.1;
    /** Half-life of what was seen, so that a server that gets no work is tried again. */
    private static final double HALF_LIFE_SECONDS = 4;

    /** How long a mean time of answers counts in full. */
    private static final double FRESH_SECONDS = 1;

    private double errorShare;
    private double delayMillis;
    private Duration updated = Duration.ZERO;
    private Duration ejectedUntil = Duration.ZERO;
    private int ejections;
    private boolean trialRunning;

    /** Takes note of an answer, failed or not, and of how long it took. */
    void recordAnswer(boolean failed, Duration took, Duration now) {
        fade(now);
        errorShare += WEIGHT * ((failed ? 1 : 0) - errorShare);
        double millis = took.toNanos() / 1e6;
        delayMillis = delayMillis == 0 ? millis : delayMillis + 2 * WEIGHT * (millis - delayMillis);
        if (!failed) {
            ejections = 0;
        }
        trialRunning = false;
    }

    /** Takes note that the server did not answer; returns how long it is left alone. */
    Duration recordNoAnswer(Duration now) {
        fade(now);
        errorShare += 2 * WEIGHT * (1 - errorShare);
        trialRunning = false;
        if (now.compareTo(ejectedUntil) < 0) {
            return Duration.ZERO;
        }
        Duration length = FIRST_EJECTION.multipliedBy(1L << Math.min(ejections, 3));
        length = length.compareTo(LONGEST_EJECTION) > 0 ? LONGEST_EJECTION : length;
        ejections++;
        ejectedUntil = now.plus(length);
        return length;
    }

    /** Tells whether the server may be given work. */
    boolean isUsable(Duration now) {
        return now.compareTo(ejectedUntil) >= 0 && !(ejections > 0 && trialRunning);
    }

    /** Takes note that a request is sent to the server. */
    void recordSent() {
        if (ejections > 0) {
            trialRunning = true;
        }
    }

    /** Takes note that a request ended without saying anything of the server. */
    void recordInconclusive() {
        trialRunning = false;
    }

    /** Returns the share of failed answers lately, 0 to 1. */
    double errorShare(Duration now) {
        fade(now);
        return errorShare;
    }

    /** Returns the mean time of an answer in milliseconds; 0 if none was seen. */
    double meanLatencyMillis() {
        return delayMillis;
    }

    private void fade(Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        if (seconds > 0) {
            errorShare *= Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
            delayMillis *= Math.pow(0.5, Math.max(0, seconds - FRESH_SECONDS) / HALF_LIFE_SECONDS);
            updated = now;
        }
    }
}
