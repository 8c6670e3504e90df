package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Checks;

/** The newest of the durations that were recorded lately; not thread-safe. */
final class RecentSample {

    private final int maxSize;
    private final Duration window;
    private final Deque<Entry> entries = new ArrayDeque<>();

    private record Entry(Duration value, Duration recorded) {}

    private RecentSample(int maxSize, Duration window) {
        this.maxSize = maxSize;
        this.window = window;
    }

    /** Returns an empty sample of at most {@code maxSize} durations, each of which is forgotten after {@code window}. */
    static RecentSample of(int maxSize, Duration window) {
        Checks.argument(maxSize > 0, "size must be positive: %d", maxSize);
        return new RecentSample(maxSize, Checks.notNull(window, "window"));
    }

    void record(Duration value, Duration now) {
        if (entries.size() == maxSize) {
            entries.removeFirst();
        }
        entries.addLast(new Entry(value, now));
    }

    boolean isEmpty(Duration now) {
        while (!entries.isEmpty() && now.minus(entries.getFirst().recorded()).compareTo(window) > 0) {
            entries.removeFirst();
        }
        return entries.isEmpty();
    }

    /** Returns the least duration that {@code share} of the sample does not exceed; empty if the sample is. */
    Optional<Duration> quantile(double share, Duration now) {
        if (isEmpty(now)) {
            return Optional.empty();
        }
        List<Duration> sorted = entries.stream().map(Entry::value).sorted().toList();
        return Optional.of(sorted.get((int) Math.ceil(share * sorted.size()) - 1));
    }
}
