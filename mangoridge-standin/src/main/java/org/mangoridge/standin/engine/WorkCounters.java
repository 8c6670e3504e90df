package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** Counts what was truly done, and remembers for which requests. */
final class WorkCounters {

    private static final int MAX_REQUESTS = 200_000;
    private static final char NUMBER_SEPARATOR = '.';

    private final Set<String> requests = new LinkedHashSet<>();
    private long prefillTokens;
    private long wastedPrefillTokens;
    private long decodedTokens;
    private Duration slotTime = Duration.ZERO;

    /** Notes that something ran for the request of {@code attempt}. */
    void recordRun(String attempt) {
        if (requests.add(requestOf(attempt)) && requests.size() > MAX_REQUESTS) {
            requests.remove(requests.iterator().next());
        }
    }

    boolean hasRun(String request) {
        return requests.contains(request);
    }

    void addPrefillTokens(int tokens) {
        prefillTokens += tokens;
    }

    void addWastedPrefillTokens(int tokens) {
        wastedPrefillTokens += tokens;
    }

    void addDecodedToken() {
        decodedTokens++;
    }

    void addSlotTime(Duration time) {
        slotTime = slotTime.plus(time);
    }

    EngineCounts counts(Duration heldNow) {
        return new EngineCounts(
                prefillTokens,
                wastedPrefillTokens,
                decodedTokens,
                slotTime.plus(heldNow).toMillis(),
                requests.size());
    }

    private static String requestOf(String attempt) {
        int end = attempt.lastIndexOf(NUMBER_SEPARATOR);
        return end < 0 ? attempt : attempt.substring(0, end);
    }
}
