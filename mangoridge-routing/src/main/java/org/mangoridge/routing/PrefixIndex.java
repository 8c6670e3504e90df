package org.mangoridge.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.prefix.PrefixHashes;

/**
 * An estimate of the prompt prefixes in the cache of a server, from its cache events and from prompts that it computed.
 *
 * <p>Events arrive late and some are lost, so that entries expire unless they are confirmed again.
 */
final class PrefixIndex {

    private static final int MAX_PREFIXES = 2048;
    private static final long EXPIRY_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<Long, Long> confirmedNanos = new LinkedHashMap<>(16, 0.75f, true);

    /** Adds or confirms a prefix; evicts the least recently used one if the index is full. */
    void add(long prefix, long nowNanos) {
        confirmedNanos.put(prefix, nowNanos);
        if (confirmedNanos.size() > MAX_PREFIXES) {
            confirmedNanos.remove(confirmedNanos.keySet().iterator().next());
        }
    }

    /** Adds or confirms all prefixes of a prompt that the server computed or reused. */
    void addAll(List<Long> prefixes, long nowNanos) {
        prefixes.forEach(prefix -> add(prefix, nowNanos));
    }

    /** Removes a prefix that the server evicted. */
    void remove(long prefix) {
        confirmedNanos.remove(prefix);
    }

    /** Removes all prefixes, because the server restarted or is unreachable. */
    void clear() {
        confirmedNanos.clear();
    }

    /** Returns the estimated cached tokens of a prompt; {@code prefixes} are ordered from the shortest to the longest. */
    int cachedTokens(List<Long> prefixes, long nowNanos) {
        if (confirmedNanos.isEmpty()) {
            return 0;
        }
        int cached = 0;
        int uncached = prefixes.size() + 1;
        while (uncached - cached > 1) {
            int middle = (cached + uncached) / 2;
            if (isCached(prefixes.get(middle - 1), nowNanos)) {
                cached = middle;
            } else {
                uncached = middle;
            }
        }
        return cached * PrefixHashes.BLOCK_TOKENS;
    }

    int size() {
        return confirmedNanos.size();
    }

    private boolean isCached(long prefix, long nowNanos) {
        Long confirmed = confirmedNanos.get(prefix);
        return confirmed != null && nowNanos - confirmed < EXPIRY_NANOS;
    }
}
