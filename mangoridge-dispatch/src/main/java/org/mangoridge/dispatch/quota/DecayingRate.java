package org.mangoridge.dispatch.quota;

import java.time.Duration;

/** A rate of units per second in which older units count less and less; not thread-safe. */
final class DecayingRate {

    private final double meanSeconds;
    private double perSecond;
    private Duration updated;

    DecayingRate(Duration meanTime, Duration now) {
        this.meanSeconds = meanTime.toNanos() / 1e9;
        this.updated = now;
    }

    /** Adds units that came at {@code now}. */
    void add(double units, Duration now) {
        perSecond = at(now) + units / meanSeconds;
        updated = later(now);
    }

    /** Adds units that came evenly since the last update. */
    void addSinceUpdate(double units, Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        if (seconds <= 0) {
            perSecond += units / meanSeconds;
            return;
        }
        double kept = Math.exp(-seconds / meanSeconds);
        perSecond = perSecond * kept + units / seconds * (1 - kept);
        updated = now;
    }

    /** Starts from a known rate. */
    void reset(double rate, Duration now) {
        perSecond = rate;
        updated = now;
    }

    /** Returns the rate at a time, if no unit came since the last update. */
    double at(Duration now) {
        double seconds = now.minus(updated).toNanos() / 1e9;
        return seconds <= 0 ? perSecond : perSecond * Math.exp(-seconds / meanSeconds);
    }

    private Duration later(Duration now) {
        return now.compareTo(updated) > 0 ? now : updated;
    }
}
