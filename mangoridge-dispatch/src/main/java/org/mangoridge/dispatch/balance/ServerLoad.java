package org.mangoridge.dispatch.balance;

import org.mangoridge.core.Checks;

/**
 * Load on a server, of one instance or of several.
 *
 * @param requests requests in flight
 * @param prefillTokens prompt tokens whose prefill is not done
 * @param kvTokens KV cache that the requests hold or will hold, in tokens
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

    /** Returns the difference; {@code other} must not be greater in any component. */
    public ServerLoad minus(ServerLoad other) {
        return new ServerLoad(
                requests - other.requests, prefillTokens - other.prefillTokens, kvTokens - other.kvTokens);
    }
}
