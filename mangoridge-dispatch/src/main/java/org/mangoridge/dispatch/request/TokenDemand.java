package org.mangoridge.dispatch.request;

import java.util.OptionalLong;

import org.mangoridge.core.Checks;

/**
 * The token counts of a model request.
 *
 * @param prompt the number of prompt tokens
 * @param maxOutput the maximum number of tokens to generate
 * @param expectedOutput the caller's estimate of the number of tokens to generate; often inaccurate
 */
public record TokenDemand(int prompt, int maxOutput, int expectedOutput) {

    /** The token counts of a request that is not a model request. */
    public static final TokenDemand NONE = new TokenDemand(0, 0, 0);

    /** Expected growth of a request that is longer than its estimate, as a share of what it has generated. */
    private static final double OVERDUE_GROWTH_SHARE = 0.3;

    public TokenDemand {
        Checks.argument(prompt >= 0 && maxOutput >= 0 && expectedOutput >= 0, "token counts must not be negative");
    }

    /** Returns the tokens of the prompt and of the output that may be generated; empty for a request that states none. */
    public OptionalLong stated() {
        return equals(NONE) ? OptionalLong.empty() : OptionalLong.of((long) prompt + maxOutput);
    }

    /**
     * Returns the KV cache, in tokens, that the request holds by the next load update.
     *
     * @param generated the tokens generated so far
     * @param growthPerUpdate the tokens that a request generates at most between two load updates
     */
    public int kvTokens(int generated, int growthPerUpdate) {
        return prompt + generated + Math.min(growthPerUpdate, Math.max(0, maxOutput - generated));
    }

    /**
     * Returns the tokens that the request is expected to generate from now to its end.
     *
     * <p>The caller's estimate is right at the median, so a request that has outgrown it is expected to go on.
     *
     * @param generated the tokens generated so far
     */
    public int expectedGrowth(int generated) {
        double growth = Math.max(expectedOutput - generated, generated * OVERDUE_GROWTH_SHARE);
        return (int) Math.max(0, Math.min(growth, maxOutput - generated));
    }
}
