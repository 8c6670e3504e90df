package org.mangoridge.routing.accounting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;

import org.mangoridge.core.Checks;

/**
 * A summary of bounded size that keeps the keys of the greatest weight (the Space-Saving algorithm).
 *
 * <p>A key that is kept may have lost at most its {@code maxError}; a key that is not kept has at most the least
 * weight kept. Used by one thread.
 *
 * @param <K> what is counted
 * @param <A> what is added up beside the weight
 */
public final class HeavyHitters<K, A> {

    /**
     * One key that is kept.
     *
     * @param key the key
     * @param weight an upper bound of its weight
     * @param maxError how much of the weight may belong to other keys
     * @param amount what was added up since the key is kept
     */
    public record Entry<K, A>(K key, long weight, long maxError, A amount) {}

    private final int capacity;
    private final BinaryOperator<A> sum;
    private final Map<K, Entry<K, A>> entries = new HashMap<>();
    private long maxUnlistedWeight;

    private HeavyHitters(int capacity, BinaryOperator<A> sum) {
        this.capacity = capacity;
        this.sum = sum;
    }

    /** Returns an empty summary of at most {@code capacity} keys. */
    public static <K, A> HeavyHitters<K, A> create(int capacity, BinaryOperator<A> sum) {
        Checks.argument(capacity >= 1, "capacity must be at least 1: %d", capacity);
        return new HeavyHitters<>(capacity, sum);
    }

    /** Adds {@code weight} and {@code amount} to {@code key}. */
    public void add(K key, long weight, A amount) {
        Entry<K, A> known = entries.get(key);
        if (known != null) {
            A total = sum.apply(known.amount(), amount);
            entries.put(key, new Entry<>(key, known.weight() + weight, known.maxError(), total));
            return;
        }
        long inherited = entries.size() >= capacity ? evictLightest() : 0;
        entries.put(key, new Entry<>(key, inherited + weight, inherited, amount));
    }

    /** Returns what is kept, the greatest weight first. */
    public List<Entry<K, A>> entries() {
        List<Entry<K, A>> list = new ArrayList<>(entries.values());
        list.sort(
                Comparator.comparingLong((Entry<K, A> entry) -> entry.weight()).reversed());
        return list;
    }

    /** Returns the most weight that a key which is not kept can have; 0 if every key is kept. */
    public long maxUnlistedWeight() {
        return maxUnlistedWeight;
    }

    private long evictLightest() {
        Entry<K, A> least = entries.values().stream()
                .min(Comparator.comparingLong(Entry::weight))
                .orElseThrow();
        entries.remove(least.key());
        maxUnlistedWeight = Math.max(maxUnlistedWeight, least.weight());
        return least.weight();
    }
}
