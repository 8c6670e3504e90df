package org.mangoridge.dispatch.balance;

import org.mangoridge.core.Checks;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * Load on a server, of one instance or of several.
 *
 * @param requests requests in flight
 * @param prefillTokens prompt tokens whose prefill is not done
 * @param kvTokens KV cache that the requests hold, or will hold by the next report, in tokens
 * @param growthTokens tokens that the requests are expected to add to their KV cache from now to their end
 */
public record ServerLoad(int requests, long prefillTokens, long kvTokens, long growthTokens) {

    /** No load. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0, 0);

    /** Standard deviation of the growth of a request, as a share of the estimate. */
    private static final double GROWTH_DEVIATION = 0.5;
    /** Standard deviations by which the growth of all requests may exceed its estimate without exhausting a server. */
    private static final double DEVIATIONS = 2;

    public ServerLoad {
        Checks.argument(
                requests >= 0 && prefillTokens >= 0 && kvTokens >= 0 && growthTokens >= 0, "load must not be negative");
    }

    /** Returns the load that a request puts on its decode server after it has generated {@code generated} tokens. */
    public static ServerLoad ofDecode(TokenDemand demand, EngineSpec spec, int generated) {
        return new ServerLoad(
                1, 0, demand.kvTokens(generated, spec.growthPerLoadUpdate()), demand.expectedGrowth(generated));
    }

    /** Returns the sum of both. */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                requests + other.requests,
                prefillTokens + other.prefillTokens,
                kvTokens + other.kvTokens,
                growthTokens + other.growthTokens);
    }

    /** Returns the difference; {@code other} must not be greater in any component. */
    public ServerLoad minus(ServerLoad other) {
        return new ServerLoad(
                requests - other.requests,
                prefillTokens - other.prefillTokens,
                kvTokens - other.kvTokens,
                growthTokens - other.growthTokens);
    }

    /**
     * Returns the KV cache, in tokens, that the requests are likely to hold at most if no other follows.
     *
     * <p>Requests grow at the same speed and end one after another. The remaining growth of each is taken as uniform
     * between zero and twice the mean, so that requests which started together grow beyond what they hold now, while
     * among requests of every age those that end free as much as the others add. The result includes
     * {@link #DEVIATIONS} standard deviations of the sum of their growths, since each is an estimate.
     */
    public double peakKvTokens() {
        if (requests == 0) {
            return kvTokens;
        }
        double meanGrowth = (double) growthTokens / requests;
        double deviation = DEVIATIONS * GROWTH_DEVIATION * meanGrowth * Math.sqrt(requests);
        double longestGrowth = 2 * meanGrowth;
        double meanSize = (double) kvTokens / requests;
        double growthAtPeak = (longestGrowth - meanSize) / 2;
        if (growthAtPeak <= 0) {
            return kvTokens + deviation;
        }
        return (1 - growthAtPeak / longestGrowth) * (kvTokens + requests * growthAtPeak) + deviation;
    }
}
