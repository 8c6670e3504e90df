package org.mangoridge.gateway.balance;

import org.mangoridge.core.Checks;

/**
 * The load that one instance puts on one server.
 *
 * @param requests requests that it has there
 * @param prefillTokens prompt tokens that are still to be read there
 * @param kvTokens KV cache that its requests hold or will hold there, in tokens
 */
public record ServerLoad(int requests, long prefillTokens, long kvTokens) {

    /** No load. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

    public ServerLoad {
        Checks.argument(requests >= 0 && prefillTokens >= 0 && kvTokens >= 0, "load must not be negative");
    }

    /** Returns the sum of both. */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                requests + other.requests, prefillTokens + other.prefillTokens, kvTokens + other.kvTokens);
    }

    /** Returns what is left without {@code other}, which is part of this. */
    public ServerLoad minus(ServerLoad other) {
        return new ServerLoad(
                requests - other.requests, prefillTokens - other.prefillTokens, kvTokens - other.kvTokens);
    }
}
