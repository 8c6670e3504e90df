package org.mangoridge.dispatch.request;

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

    /** Tokens that a request is assumed to generate between two load updates, about half a second apart. */
    private static final int GROWTH_TOKENS = 120;

    public TokenDemand {
        Checks.argument(prompt >= 0 && maxOutput >= 0 && expectedOutput >= 0, "token counts must not be negative");
    }

    /**
     * Returns the KV cache, in tokens, to account for the request after it has generated {@code generated} tokens.
     *
     * <p>The estimate covers the current size and the growth until the next load update. Accounting for the maximum
     * output in advance would leave much of the memory unused, because most requests generate far fewer tokens.
     */
    public int estimatedKvTokens(int generated) {
        return prompt + generated + Math.min(GROWTH_TOKENS, Math.max(0, maxOutput - generated));
    }
}
