package org.mangoridge.routing.accounting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;

import org.mangoridge.core.Checks;

/**
 * A summary of bounded size that keeps the keys with the greatest weights (Space-Saving algorithm).
 *
 * <p>The weight of a listed key is too high by at most its {@code maxError}; an unlisted key weighs at most
 * {@link #maxUnlistedWeight}. Not thread-safe.
 *
 * @param <K> the type of the keys
 * @param <A> the type of the amounts that are summed along with the weights
 */
public final class HeavyHitters<K, A> {

    /**
     * A listed key.
     *
     * @param key the key
     * @param weight an upper bound of its weight
     * @param maxError the part of the weight that may belong to other keys
     * @param amount the sum of the amounts since the key was last listed anew
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
        Entry<K, A> existing = entries.get(key);
        if (existing != null) {
            A total = sum.apply(existing.amount(), amount);
            entries.put(key, new Entry<>(key, existing.weight() + weight, existing.maxError(), total));
            return;
        }
        long evictedWeight = entries.size() >= capacity ? evictLightest() : 0;
        entries.put(key, new Entry<>(key, evictedWeight + weight, evictedWeight, amount));
    }

    /** Returns the listed keys, the greatest weight first. */
    public List<Entry<K, A>> entries() {
        List<Entry<K, A>> list = new ArrayList<>(entries.values());
        list.sort(
                Comparator.comparingLong((Entry<K, A> entry) -> entry.weight()).reversed());
        return list;
    }

    /** Returns the maximum weight of an unlisted key; 0 if no key was evicted. */
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
