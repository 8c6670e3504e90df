package org.mangoridge.dispatch.config;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * Limits on what callers may send and how long they may take.
 *
 * @param maxHeaderBytes maximum size of the request line and headers
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeout how long a caller may take to send the request line and headers
 * @param idleTimeout how long a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits until a configuration is adopted. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    public CallerLimits {
        Checks.argument(
                maxHeaderBytes > 0 && maxBodyBytes >= 0,
                "maxHeaderBytes must be positive and maxBodyBytes not negative");
        Checks.argument(
                headerTimeout.isPositive() && idleTimeout.isPositive(),
                "headerTimeout and idleTimeout must be positive");
    }
}
