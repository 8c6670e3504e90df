package org.mangoridge.gateway.config;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * What the servers of a model service can hold.
 *
 * @param slots requests that one server works on at once
 * @param kvCapacity KV cache of one server, in tokens
 * @param eventTokens the most tokens that one event of a stream carries
 * @param handleRetention how long a server keeps the KV cache of a prefill that nobody has taken
 * @param roomRetention how long a server keeps room at most for a request to come; zero if it keeps none
 */
public record EngineSpec(int slots, int kvCapacity, int eventTokens, Duration handleRetention, Duration roomRetention) {

    public EngineSpec {
        Checks.argument(slots > 0, "slots must be positive: %d", slots);
        Checks.argument(kvCapacity > 0, "KV capacity must be positive: %d", kvCapacity);
        Checks.argument(eventTokens > 0, "eventTokens must be positive: %d", eventTokens);
        Checks.notNull(handleRetention, "handleRetention");
        Checks.notNull(roomRetention, "roomRetention");
    }
}
