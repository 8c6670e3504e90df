package org.mangoridge.routing;

/**
 * A linear model of a server's inter-token latency over its used slots, fitted to completed streams by least squares.
 *
 * <p>Older samples lose weight, and without new ones the model returns to a default latency.
 */
final class TokenLatencyModel {

    private static final double DEFAULT_SECONDS = 0.015;
    private static final double SAMPLE_DECAY = 0.97;
    private static final double MIN_SLOT_VARIANCE = 1;
    private static final double DECAY_SECONDS = 20;
    private static final double DEFAULT_WEIGHT = 0.2;
    private static final double NANOS_PER_SECOND = 1e9;

    private double weight;
    private double sumSlots;
    private double sumSeconds;
    private double sumSlotsSquared;
    private double sumProduct;
    private long learnedNanos;

    /** Adds the mean inter-token latency of a stream that ran while {@code slotsUsed} slots were used. */
    void learn(double slotsUsed, double intervalSeconds, long nowNanos) {
        learnedNanos = nowNanos;
        weight = weight * SAMPLE_DECAY + 1;
        sumSlots = sumSlots * SAMPLE_DECAY + slotsUsed;
        sumSeconds = sumSeconds * SAMPLE_DECAY + intervalSeconds;
        sumSlotsSquared = sumSlotsSquared * SAMPLE_DECAY + slotsUsed * slotsUsed;
        sumProduct = sumProduct * SAMPLE_DECAY + slotsUsed * intervalSeconds;
    }

    /** Returns the forecast inter-token latency with {@code slotsUsed} slots used. */
    double secondsAt(double slotsUsed, long nowNanos) {
        if (weight == 0) {
            return DEFAULT_SECONDS;
        }
        double age = Math.max(0, nowNanos - learnedNanos) / NANOS_PER_SECOND;
        double decayedWeight = weight * Math.exp(-age / DECAY_SECONDS);
        return (decayedWeight * fitted(slotsUsed) + DEFAULT_WEIGHT * DEFAULT_SECONDS)
                / (decayedWeight + DEFAULT_WEIGHT);
    }

    private double fitted(double slotsUsed) {
        double meanSlots = sumSlots / weight;
        double meanSeconds = sumSeconds / weight;
        double variance = sumSlotsSquared / weight - meanSlots * meanSlots;
        if (variance < MIN_SLOT_VARIANCE) {
            return meanSeconds;
        }
        double slope = Math.max(0, (sumProduct / weight - meanSlots * meanSeconds) / variance);
        return Math.max(0, meanSeconds + slope * (slotsUsed - meanSlots));
    }
}
