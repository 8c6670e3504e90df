package org.mangoridge.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.prefix.PrefixHashes;

/**
 * Which prompt prefixes a server is believed to hold, from its events and from prompts that it computed.
 *
 * <p>Events come late and some are lost, so that a belief is dropped when nothing confirms it for a while.
 */
final class PrefixIndex {

    private static final int MAX_PREFIXES = 2048;
    private static final long BELIEVED_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<Long, Long> confirmedNanos = new LinkedHashMap<>(16, 0.75f, true);

    /** Notes that the server stored a prefix. */
    void add(long prefix, long nowNanos) {
        confirmedNanos.put(prefix, nowNanos);
        if (confirmedNanos.size() > MAX_PREFIXES) {
            confirmedNanos.remove(confirmedNanos.keySet().iterator().next());
        }
    }

    /** Notes that the server computed or used all prefixes of a prompt. */
    void addAll(List<Long> prefixes, long nowNanos) {
        prefixes.forEach(prefix -> add(prefix, nowNanos));
    }

    /** Notes that the server evicted a prefix. */
    void remove(long prefix) {
        confirmedNanos.remove(prefix);
    }

    /** Forgets everything, because the server restarted or can't be asked. */
    void clear() {
        confirmedNanos.clear();
    }

    /** Returns how many tokens of a prompt with these prefixes, the shortest first, are believed to be held. */
    int cachedTokens(List<Long> prefixes, long nowNanos) {
        if (confirmedNanos.isEmpty()) {
            return 0;
        }
        int held = 0;
        int beyond = prefixes.size() + 1;
        while (beyond - held > 1) {
            int middle = (held + beyond) / 2;
            if (isHeld(prefixes.get(middle - 1), nowNanos)) {
                held = middle;
            } else {
                beyond = middle;
            }
        }
        return held * PrefixHashes.BLOCK_TOKENS;
    }

    int size() {
        return confirmedNanos.size();
    }

    private boolean isHeld(long prefix, long nowNanos) {
        Long confirmed = confirmedNanos.get(prefix);
        return confirmed != null && nowNanos - confirmed < BELIEVED_NANOS;
    }
}
