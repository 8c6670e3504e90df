package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.prefix.PrefixHashes;
import org.mangoridge.engine.EngineMessages.CacheEvent;

/** An LRU cache of prompt prefixes that publishes an event for each prefix stored or evicted. */
final class PrefixCache {

    private static final int MAX_EVENTS = 8192;

    private record TimedEvent(CacheEvent event, Duration storedAt) {}

    private final int capacityBlocks;
    private final Map<Long, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long lastSequence;

    PrefixCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** Returns how many tokens of a prompt with these prefixes are cached. */
    int cachedTokens(List<Long> prefixes) {
        int tokens = 0;
        for (Long prefix : prefixes) {
            if (tokensByPrefix.get(prefix) == null) {
                break;
            }
            tokens += PrefixHashes.BLOCK_TOKENS;
        }
        return tokens;
    }

    /** Stores the prefixes of a prompt, shortest first, and evicts the least recently used ones beyond the capacity. */
    void store(List<Long> prefixes, Duration now) {
        int tokens = 0;
        for (Long prefix : prefixes) {
            tokens += PrefixHashes.BLOCK_TOKENS;
            if (tokensByPrefix.put(prefix, tokens) == null) {
                publish(prefix, tokens, true, now);
            }
        }
        Iterator<Map.Entry<Long, Integer>> leastRecentlyUsed =
                tokensByPrefix.entrySet().iterator();
        while (tokensByPrefix.size() > capacityBlocks) {
            Map.Entry<Long, Integer> evicted = leastRecentlyUsed.next();
            publish(evicted.getKey(), evicted.getValue(), false, now);
            leastRecentlyUsed.remove();
        }
    }

    /** Returns the published events after {@code sequence}; multiples of {@code lossInterval} are lost. */
    List<CacheEvent> eventsAfter(long sequence, Duration publishedBy, int lossInterval) {
        return events.stream()
                .filter(timed -> timed.storedAt().compareTo(publishedBy) <= 0)
                .map(TimedEvent::event)
                .filter(event -> event.sequence() > sequence)
                .filter(event -> lossInterval <= 0 || event.sequence() % lossInterval != 0)
                .toList();
    }

    /** Removes every prefix and event without publishing evictions. */
    void clear() {
        tokensByPrefix.clear();
        events.clear();
    }

    private void publish(long prefix, int tokens, boolean stored, Duration now) {
        events.addLast(new TimedEvent(new CacheEvent(++lastSequence, prefix, tokens, stored), now));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
