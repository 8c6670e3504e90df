package org.mangoridge.gateway.config;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeout how long a caller may take to send a head
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits before any configuration is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    public CallerLimits {
        Checks.argument(maxHeaderBytes > 0 && maxBodyBytes >= 0, "limits must be positive");
        Checks.argument(headerTimeout.isPositive() && idleTimeout.isPositive(), "timeouts must be positive");
    }
}
