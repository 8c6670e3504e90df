package org.mangoridge.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;

/** Counts the instances that have attempts in recent load reports. */
final class InstanceCount {

    private static final long EXPIRY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAX_INSTANCES = 1024;

    private final Map<String, Long> lastSeenNanos = new HashMap<>();

    /** Records the attempts of one load report. */
    void recordAttempts(Iterable<AttemptId> attempts, long nowNanos) {
        for (AttemptId attempt : attempts) {
            String request = attempt.request().value();
            int dash = request.lastIndexOf('-');
            String instance = dash < 0 ? request : request.substring(0, dash);
            if (lastSeenNanos.size() < MAX_INSTANCES || lastSeenNanos.containsKey(instance)) {
                lastSeenNanos.put(instance, nowNanos);
            }
        }
    }

    /** Removes instances without attempts in recent reports. */
    void expire(long nowNanos) {
        lastSeenNanos.values().removeIf(seen -> nowNanos - seen > EXPIRY_NANOS);
    }

    /** Returns the number of instances, at least 1. */
    int count() {
        return Math.max(1, lastSeenNanos.size());
    }
}
