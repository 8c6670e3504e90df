package org.mangoridge.bench.measure;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/** A set of delays and what can be said of it. */
public final class Delays {

    private final long[] sortedNanos;

    private Delays(long[] sortedNanos) {
        this.sortedNanos = sortedNanos;
    }

    /** Returns the set of {@code delays}. */
    public static Delays of(List<Duration> delays) {
        return new Delays(delays.stream().mapToLong(Duration::toNanos).sorted().toArray());
    }

    /** Returns the sets together. */
    public Delays plus(Delays other) {
        long[] all = Arrays.copyOf(sortedNanos, sortedNanos.length + other.sortedNanos.length);
        System.arraycopy(other.sortedNanos, 0, all, sortedNanos.length, other.sortedNanos.length);
        Arrays.sort(all);
        return new Delays(all);
    }

    /** Returns how many delays there are. */
    public int count() {
        return sortedNanos.length;
    }

    /** Returns the least delay that a share of all, from 0 to 1, does not exceed; zero if there is none. */
    public Duration percentile(double share) {
        if (sortedNanos.length == 0) {
            return Duration.ZERO;
        }
        int rank = (int) Math.ceil(share * sortedNanos.length);
        return Duration.ofNanos(sortedNanos[Math.max(0, rank - 1)]);
    }

    /** Returns the share of delays up to {@code limit}, 1 if there is none. */
    public double shareWithin(Duration limit) {
        if (sortedNanos.length == 0) {
            return 1;
        }
        long within = Arrays.stream(sortedNanos)
                .filter(nanos -> nanos <= limit.toNanos())
                .count();
        return (double) within / sortedNanos.length;
    }
}
