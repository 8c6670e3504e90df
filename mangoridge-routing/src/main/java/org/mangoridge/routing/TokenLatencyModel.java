package org.mangoridge.routing;

/** The time between tokens of a server as a line over the slots that it uses, fitted to ended streams and forgotten without them. */
final class TokenLatencyModel {

    private static final double DEFAULT_SECONDS = 0.015;
    private static final double FORGET = 0.97;
    private static final double LEAST_SPREAD = 1;
    private static final double FORGET_SECONDS = 20;
    private static final double DEFAULT_WEIGHT = 0.2;
    private static final double NANOS_PER_SECOND = 1e9;

    private double weight;
    private double sumSlots;
    private double sumSeconds;
    private double sumSlotsSquared;
    private double sumProduct;
    private long learnedNanos;

    /** Learns the mean interval of a stream that ran while {@code slotsUsed} slots were used. */
    void learn(double slotsUsed, double intervalSeconds, long nowNanos) {
        learnedNanos = nowNanos;
        weight = weight * FORGET + 1;
        sumSlots = sumSlots * FORGET + slotsUsed;
        sumSeconds = sumSeconds * FORGET + intervalSeconds;
        sumSlotsSquared = sumSlotsSquared * FORGET + slotsUsed * slotsUsed;
        sumProduct = sumProduct * FORGET + slotsUsed * intervalSeconds;
    }

    /** Forecasts the interval with {@code slotsUsed} slots used. */
    double secondsAt(double slotsUsed, long nowNanos) {
        if (weight == 0) {
            return DEFAULT_SECONDS;
        }
        double age = Math.max(0, nowNanos - learnedNanos) / NANOS_PER_SECOND;
        double known = weight * Math.exp(-age / FORGET_SECONDS);
        return (known * fitted(slotsUsed) + DEFAULT_WEIGHT * DEFAULT_SECONDS) / (known + DEFAULT_WEIGHT);
    }

    private double fitted(double slotsUsed) {
        double meanSlots = sumSlots / weight;
        double meanSeconds = sumSeconds / weight;
        double spread = sumSlotsSquared / weight - meanSlots * meanSlots;
        if (spread < LEAST_SPREAD) {
            return meanSeconds;
        }
        double slope = Math.max(0, (sumProduct / weight - meanSlots * meanSeconds) / spread);
        return Math.max(0, meanSeconds + slope * (slotsUsed - meanSlots));
    }
}
