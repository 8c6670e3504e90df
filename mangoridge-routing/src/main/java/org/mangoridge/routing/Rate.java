package org.mangoridge.routing;

/** The rate of something that is counted, averaged over the last few seconds. */
final class Rate {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double windowSeconds;
    private double perSecond;
    private long updatedNanos;

    Rate(double windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    /** Counts {@code amount} at {@code nowNanos}. */
    void add(double amount, long nowNanos) {
        decay(nowNanos);
        perSecond += amount / windowSeconds;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        return perSecond;
    }

    private void decay(long nowNanos) {
        double seconds = Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
        perSecond *= Math.exp(-seconds / windowSeconds);
        updatedNanos = Math.max(updatedNanos, nowNanos);
    }
}
