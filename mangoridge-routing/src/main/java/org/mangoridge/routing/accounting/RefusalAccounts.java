package org.mangoridge.routing.accounting;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.RefusalReason;

/** The refused requests of recent intervals by usage key and reason; bounded, not thread-safe. */
public final class RefusalAccounts {

    private static final int MAX_SERVICES = 256;

    /**
     * Requests refused for one reason.
     *
     * @param key the caller, class and service of the requests
     * @param reason the reason of the refusals
     */
    public record Refused(UsageKey key, RefusalReason reason) {}

    /**
     * The number of requests refused for one key and reason.
     *
     * @param refused the key and the reason
     * @param count an upper bound of the number of requests
     * @param missed the part of the count that may belong to other keys
     */
    public record Line(Refused refused, long count, long missed) {}

    private final Map<ServiceId, IntervalSummaries<Refused, Long>> services = new HashMap<>();

    private RefusalAccounts() {}

    /** Returns empty accounts. */
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

    /** Returns the refusals of a service, the greatest count first. */
    public List<Line> report(ServiceId service, Duration now) {
        IntervalSummaries<Refused, Long> summaries = services.get(service);
        return summaries == null
                ? List.of()
                : summaries.entries(now).stream()
                        .map(entry -> new Line(entry.key(), entry.weight(), entry.maxError()))
                        .toList();
    }
}
