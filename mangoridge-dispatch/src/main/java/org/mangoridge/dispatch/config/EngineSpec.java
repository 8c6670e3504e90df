package org.mangoridge.dispatch.config;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * Capacity and retention times of the servers of a model service.
 *
 * @param slots requests that one server processes concurrently
 * @param kvCapacity KV cache of one server, in tokens
 * @param maxTokensPerEvent maximum number of tokens in one event of a stream
 * @param kvHandleTtl how long a server keeps the KV cache of a finished prefill that no decode server has fetched
 * @param reservationTtl how long a server keeps a reservation at most; zero if it does not support reservations
 */
public record EngineSpec(
        int slots, int kvCapacity, int maxTokensPerEvent, Duration kvHandleTtl, Duration reservationTtl) {

    /** Events of a stream between two updates of the load that is accounted for it. */
    public static final int EVENTS_PER_LOAD_UPDATE = 10;

    public EngineSpec {
        Checks.argument(slots > 0, "slots must be positive: %d", slots);
        Checks.argument(kvCapacity > 0, "kvCapacity must be positive: %d", kvCapacity);
        Checks.argument(maxTokensPerEvent > 0, "maxTokensPerEvent must be positive: %d", maxTokensPerEvent);
        Checks.notNull(kvHandleTtl, "kvHandleTtl");
        Checks.notNull(reservationTtl, "reservationTtl");
    }

    /** Returns the tokens that a request generates at most between two updates of its load. */
    public int growthPerLoadUpdate() {
        return EVENTS_PER_LOAD_UPDATE * maxTokensPerEvent;
    }
}
