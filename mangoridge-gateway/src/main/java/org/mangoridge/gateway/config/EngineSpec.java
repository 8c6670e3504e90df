package org.mangoridge.gateway.config;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * What the servers of a model service can hold.
 *
 * @param slots requests that one server works on at once
 * @param kvCapacity KV cache of one server, in tokens
 * @param maxTokensPerEvent the most tokens that one event of a stream carries
 * @param kvHandleTtl how long a server keeps the KV cache of a prefill that nobody has taken
 * @param reservationTtl how long a server keeps room at most for a request to come; zero if it keeps none
 */
public record EngineSpec(
        int slots, int kvCapacity, int maxTokensPerEvent, Duration kvHandleTtl, Duration reservationTtl) {

    public EngineSpec {
        Checks.argument(slots > 0, "slots must be positive: %d", slots);
        Checks.argument(kvCapacity > 0, "KV capacity must be positive: %d", kvCapacity);
        Checks.argument(maxTokensPerEvent > 0, "maxTokensPerEvent must be positive: %d", maxTokensPerEvent);
        Checks.notNull(kvHandleTtl, "kvHandleTtl");
        Checks.notNull(reservationTtl, "reservationTtl");
    }
}
