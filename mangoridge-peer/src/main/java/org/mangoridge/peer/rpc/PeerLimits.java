package org.mangoridge.peer.rpc;

import java.time.Duration;

/**
 * Limits of the connections between instances.
 *
 * @param maxFrameBytes the largest message; the largest one carries a configuration of at most 1 MiB
 * @param maxConnections the most connections that a server keeps open
 * @param idleTimeout how long a connection may carry nothing before the server closes it
 * @param connectTimeout how long a client waits for a connection to be established
 * @param maxConnectionAge the age at which a client closes a connection, varied by up to 20 % per connection
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxConnections,
        Duration idleTimeout,
        Duration connectTimeout,
        Duration maxConnectionAge) {

    private static final PeerLimits STANDARD = new PeerLimits(
            (1 << 20) + (64 << 10), 1024, Duration.ofSeconds(60), Duration.ofMillis(400), Duration.ofMinutes(5));

    /** Returns the limits that instances use. */
    public static PeerLimits standard() {
        return STANDARD;
    }
}
