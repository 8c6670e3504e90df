package org.mangoridge.dispatch.limit;

import java.time.Duration;

/** Measures the rate of requests for one service as a weight; confined to one thread. */
final class DemandMeter {

    /** Weight of an instance without requests, so that the first one does not have to wait for a share. */
    static final int IDLE_WEIGHT = 1;
    /** Largest weight. */
    static final int MAX_WEIGHT = 1 << 20;
    /** Weight of one request a second, as a multiple of {@link #IDLE_WEIGHT}. */
    private static final int WEIGHT_PER_REQUEST = 8;
    /** Half-life of the count of requests. */
    private static final double HALF_LIFE_SECONDS = 3;

    private double count;
    private Duration updated = Duration.ZERO;

    void record(Duration now) {
        count = countAt(now) + 1;
        updated = now;
    }

    private double countAt(Duration now) {
        double halfLives = Math.max(0, now.minus(updated).toNanos() / 1e9) / HALF_LIFE_SECONDS;
        return count * Math.pow(0.5, halfLives);
    }

    /** Returns the weight, which is rounded so that it does not change with every request. */
    int weight(Duration now) {
        double rate = countAt(now) * Math.log(2) / HALF_LIFE_SECONDS;
        long scaled = (long) Math.ceil(Math.min(MAX_WEIGHT / 2.0, rate * WEIGHT_PER_REQUEST));
        return scaled <= 1 ? IDLE_WEIGHT : IDLE_WEIGHT + (int) Long.highestOneBit(2 * scaled - 1);
    }
}
