package org.mangoridge.routing.accounting;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;

/** Heavy-hitter summaries over a sliding window of fixed intervals; not thread-safe. */
final class IntervalSummaries<K, A> {

    static final Duration INTERVAL = Duration.ofMinutes(1);
    static final int MAX_INTERVALS = 5;

    private static final int KEYS_PER_INTERVAL = 32;

    private record Interval<K, A>(long number, HeavyHitters<K, A> summary) {}

    private final BinaryOperator<A> sum;
    private final Deque<Interval<K, A>> intervals = new ArrayDeque<>();

    IntervalSummaries(BinaryOperator<A> sum) {
        this.sum = sum;
    }

    void add(K key, long weight, A amount, Duration now) {
        current(now).add(key, weight, amount);
    }

    /** Returns the sums over the intervals of the window, the greatest weight first. */
    List<HeavyHitters.Entry<K, A>> entries(Duration now) {
        expire(now);
        Map<K, HeavyHitters.Entry<K, A>> total = new HashMap<>();
        for (Interval<K, A> interval : intervals) {
            interval.summary().entries().forEach(entry -> total.merge(entry.key(), entry, this::merge));
        }
        List<HeavyHitters.Entry<K, A>> list = new ArrayList<>(total.values());
        list.sort((one, two) -> Long.compare(two.weight(), one.weight()));
        return list;
    }

    /** Returns the maximum weight of a key that is missing from {@link #entries}. */
    long maxUnlistedWeight(Duration now) {
        expire(now);
        return intervals.stream()
                .mapToLong(interval -> interval.summary().maxUnlistedWeight())
                .sum();
    }

    boolean isEmpty(Duration now) {
        expire(now);
        return intervals.isEmpty();
    }

    private HeavyHitters.Entry<K, A> merge(HeavyHitters.Entry<K, A> one, HeavyHitters.Entry<K, A> two) {
        return new HeavyHitters.Entry<>(
                one.key(),
                one.weight() + two.weight(),
                one.maxError() + two.maxError(),
                sum.apply(one.amount(), two.amount()));
    }

    private HeavyHitters<K, A> current(Duration now) {
        expire(now);
        long number = number(now);
        if (intervals.isEmpty() || intervals.peekLast().number() < number) {
            intervals.addLast(new Interval<>(number, HeavyHitters.create(KEYS_PER_INTERVAL, sum)));
        }
        return intervals.peekLast().summary();
    }

    private void expire(Duration now) {
        while (!intervals.isEmpty() && intervals.peekFirst().number() <= number(now) - MAX_INTERVALS) {
            intervals.removeFirst();
        }
    }

    private static long number(Duration now) {
        return now.dividedBy(INTERVAL);
    }
}
