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

/** Keeps the prompt prefixes used last, and the events that tell of them. */
final class PrefixCache {

    private static final int MAX_EVENTS = 8192;

    private record Timed(CacheEvent event, Duration at) {}

    private final int capacityBlocks;
    private final Map<Long, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Timed> events = new ArrayDeque<>();
    private long lastSequence;

    PrefixCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** Returns how many tokens of a prompt with these prefixes are held. */
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

    /** Keeps the prefixes of a prompt, the longest last, and evicts those not used for longest. */
    void store(List<Long> prefixes, Duration now) {
        int tokens = 0;
        for (Long prefix : prefixes) {
            tokens += PrefixHashes.BLOCK_TOKENS;
            if (tokensByPrefix.put(prefix, tokens) == null) {
                publish(prefix, tokens, true, now);
            }
        }
        Iterator<Map.Entry<Long, Integer>> eldest = tokensByPrefix.entrySet().iterator();
        while (tokensByPrefix.size() > capacityBlocks) {
            Map.Entry<Long, Integer> evicted = eldest.next();
            publish(evicted.getKey(), evicted.getValue(), false, now);
            eldest.remove();
        }
    }

    /** Returns the events after {@code sequence} that are published by now; those whose number {@code gap} divides are lost. */
    List<CacheEvent> eventsAfter(long sequence, Duration publishedBefore, int gap) {
        return events.stream()
                .filter(timed -> timed.at().compareTo(publishedBefore) <= 0)
                .map(Timed::event)
                .filter(event -> event.sequence() > sequence)
                .filter(event -> gap <= 0 || event.sequence() % gap != 0)
                .toList();
    }

    /** Forgets every prefix. */
    void clear() {
        tokensByPrefix.clear();
        events.clear();
    }

    private void publish(long prefix, int tokens, boolean stored, Duration now) {
        events.addLast(new Timed(new CacheEvent(++lastSequence, prefix, tokens, stored), now));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
