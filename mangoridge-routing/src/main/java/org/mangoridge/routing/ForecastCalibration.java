package org.mangoridge.routing;

/** The ratio of observed to forecast times of a server, which decays to 1 while there are no new samples. */
final class ForecastCalibration {

    private static final double MIN_RATIO = 0.5;
    private static final double MAX_RATIO = 20;
    private static final double WEIGHT_OF_NEWEST = 0.3;
    /** The time constant of the decay. */
    private static final double DECAY_SECONDS = 10;

    private static final double NANOS_PER_SECOND = 1e9;

    private double ratio = 1;
    private long learnedNanos;

    /** Adds a sample: a forecast and the time observed for it. */
    void learn(double forecastSeconds, double observedSeconds, long nowNanos) {
        if (forecastSeconds <= 0) {
            return;
        }
        double sample = Math.clamp(observedSeconds / forecastSeconds, MIN_RATIO, MAX_RATIO);
        double current = ratio(nowNanos);
        ratio = current + WEIGHT_OF_NEWEST * (sample - current);
        learnedNanos = nowNanos;
    }

    /** Returns the factor by which to multiply a forecast. */
    double ratio(long nowNanos) {
        if (ratio == 1) {
            return 1;
        }
        double seconds = Math.max(0, nowNanos - learnedNanos) / NANOS_PER_SECOND;
        return 1 + (ratio - 1) * Math.exp(-seconds / DECAY_SECONDS);
    }
}
