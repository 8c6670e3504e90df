package org.mangoridge.routing;

/** An event rate with exponential decay, corrected for the short observation time after the first event. */
final class DecayingRate {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_OBSERVED_SECONDS = 1;

    private final double windowSeconds;
    private double perSecond;
    private long updatedNanos;
    private long firstNanos = Long.MIN_VALUE;

    DecayingRate(double windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    /** Adds {@code amount} at {@code nowNanos}. */
    void add(double amount, long nowNanos) {
        if (firstNanos == Long.MIN_VALUE) {
            firstNanos = nowNanos;
        }
        decay(nowNanos);
        perSecond += amount / windowSeconds;
    }

    double perSecond(long nowNanos) {
        if (firstNanos == Long.MIN_VALUE) {
            return 0;
        }
        decay(nowNanos);
        double observedSeconds = Math.max(MIN_OBSERVED_SECONDS, (nowNanos - firstNanos) / NANOS_PER_SECOND);
        return perSecond / (1 - Math.exp(-observedSeconds / windowSeconds));
    }

    private void decay(long nowNanos) {
        double seconds = Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
        perSecond *= Math.exp(-seconds / windowSeconds);
        updatedNanos = Math.max(updatedNanos, nowNanos);
    }
}
