package org.mangoridge.peer.rpc;

import java.time.Duration;

/**
 * Bounds of the connections between instances.
 *
 * @param maxFrameBytes the largest message; one holds a configuration of a megabyte at most
 * @param maxConnections the most connections that a server keeps open
 * @param idle a server closes a connection that carries nothing for so long
 * @param connectTimeout how long a client waits for a connection
 * @param maxAge a client replaces a connection that is older, give or take a fifth
 */
public record PeerLimits(
        int maxFrameBytes, int maxConnections, Duration idle, Duration connectTimeout, Duration maxAge) {

    private static final PeerLimits STANDARD = new PeerLimits(
            (1 << 20) + (64 << 10), 1024, Duration.ofSeconds(60), Duration.ofMillis(400), Duration.ofMinutes(5));

    /** Returns the bounds that instances use. */
    public static PeerLimits standard() {
        return STANDARD;
    }
}
