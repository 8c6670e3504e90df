package org.mangoridge.routing;

/** How much longer than forecast a server takes, learned from its answers and forgotten while it gives none. */
final class ForecastCalibration {

    private static final double LEAST = 0.5;
    private static final double MOST = 20;
    private static final double WEIGHT_OF_NEWEST = 0.3;
    private static final double FORGET_SECONDS = 10;
    private static final double NANOS_PER_SECOND = 1e9;

    private double ratio = 1;
    private long learnedNanos;

    /** Learns from one forecast and what came of it. */
    void learn(double forecastSeconds, double observedSeconds, long nowNanos) {
        if (forecastSeconds <= 0) {
            return;
        }
        double sample = Math.clamp(observedSeconds / forecastSeconds, LEAST, MOST);
        double current = ratio(nowNanos);
        ratio = current + WEIGHT_OF_NEWEST * (sample - current);
        learnedNanos = nowNanos;
    }

    /** Returns the factor to apply to a forecast. */
    double ratio(long nowNanos) {
        if (ratio == 1) {
            return 1;
        }
        double seconds = Math.max(0, nowNanos - learnedNanos) / NANOS_PER_SECOND;
        return 1 + (ratio - 1) * Math.exp(-seconds / FORGET_SECONDS);
    }
}
