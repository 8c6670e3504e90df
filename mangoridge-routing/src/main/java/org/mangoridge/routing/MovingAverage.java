package org.mangoridge.routing;

/** An exponentially weighted moving average with an initial value. */
final class MovingAverage {

    private final double weightOfNewest;
    private double value;
    private boolean sampled;

    MovingAverage(double initial, double weightOfNewest) {
        this.value = initial;
        this.weightOfNewest = weightOfNewest;
    }

    /** Adds a sample; the first one replaces the initial value. */
    void add(double sample) {
        value = sampled ? value + weightOfNewest * (sample - value) : sample;
        sampled = true;
    }

    double value() {
        return value;
    }

    boolean isSampled() {
        return sampled;
    }
}
