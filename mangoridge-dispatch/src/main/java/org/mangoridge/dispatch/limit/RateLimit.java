package org.mangoridge.dispatch.limit;

import org.mangoridge.core.Checks;

/**
 * The rate of requests that a server takes from all instances together.
 *
 * @param requestsPerSecond the rate, finite and not negative
 */
public record RateLimit(double requestsPerSecond) {

    public RateLimit {
        Checks.argument(
                Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0,
                "a rate must be finite and not negative: %s",
                requestsPerSecond);
    }

    @Override
    public String toString() {
        return Double.toString(requestsPerSecond);
    }
}
