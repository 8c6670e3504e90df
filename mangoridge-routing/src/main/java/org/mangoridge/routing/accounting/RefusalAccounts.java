package org.mangoridge.routing.accounting;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.RefusalReason;

/** Whose requests were refused during the last intervals, and why; bounded, used by one thread. */
public final class RefusalAccounts {

    private static final int MAX_SERVICES = 256;

    /**
     * Requests refused for one reason.
     *
     * @param key whose requests
     * @param reason why
     */
    public record Refused(UsageKey key, RefusalReason reason) {}

    /**
     * How many were refused.
     *
     * @param refused whose and why
     * @param count an upper bound of how many
     * @param missed how many of them may belong to others
     */
    public record Line(Refused refused, long count, long missed) {}

    private final Map<ServiceId, IntervalSummaries<Refused, Long>> services = new HashMap<>();

    private RefusalAccounts() {}

    /** Returns accounts without refusals. */
    public static RefusalAccounts create() {
        return new RefusalAccounts();
    }

    /** Counts a refused request. */
    public void recordRefusal(UsageKey key, RefusalReason reason, Duration now) {
        if (services.size() >= MAX_SERVICES && !services.containsKey(key.service())) {
            return;
        }
        services.computeIfAbsent(key.service(), service -> new IntervalSummaries<>(Long::sum))
                .add(new Refused(key, reason), 1, 1L, now);
    }

    /** Returns what was refused of a service, the most first. */
    public List<Line> report(ServiceId service, Duration now) {
        IntervalSummaries<Refused, Long> summaries = services.get(service);
        return summaries == null
                ? List.of()
                : summaries.entries(now).stream()
                        .map(entry -> new Line(entry.key(), entry.weight(), entry.maxError()))
                        .toList();
    }
}
