package org.mangoridge.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;

/** Counts the instances whose attempts the servers reported lately. */
final class InstanceCount {

    private static final long REMEMBERED_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAX_INSTANCES = 1024;

    private final Map<String, Long> seenNanos = new HashMap<>();

    /** Takes in the attempts of one report. */
    void recordAttempts(Iterable<AttemptId> attempts, long nowNanos) {
        for (AttemptId attempt : attempts) {
            String request = attempt.request().value();
            int dash = request.lastIndexOf('-');
            String instance = dash < 0 ? request : request.substring(0, dash);
            if (seenNanos.size() < MAX_INSTANCES || seenNanos.containsKey(instance)) {
                seenNanos.put(instance, nowNanos);
            }
        }
    }

    /** Forgets instances that were not seen for a while. */
    void expire(long nowNanos) {
        seenNanos.values().removeIf(seen -> nowNanos - seen > REMEMBERED_NANOS);
    }

    /** Returns the number of instances, at least 1. */
    int count() {
        return Math.max(1, seenNanos.size());
    }
}
