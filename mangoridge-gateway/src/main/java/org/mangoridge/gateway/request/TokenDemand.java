package org.mangoridge.gateway.request;

import org.mangoridge.core.Checks;

/**
 * The tokens that a model request needs.
 *
 * @param prompt tokens of the prompt
 * @param maxOutput the most tokens that it generates
 * @param expectedOutput the tokens that its caller expects it to generate; often far off
 */
public record TokenDemand(int prompt, int maxOutput, int expectedOutput) {

    /** The demand of a request that is not a model request. */
    public static final TokenDemand NONE = new TokenDemand(0, 0, 0);

    /** Tokens that a request grows by between two counts, about half a second. */
    private static final int GROWTH = 120;

    public TokenDemand {
        Checks.argument(prompt >= 0 && maxOutput >= 0 && expectedOutput >= 0, "token counts must not be negative");
    }

    /**
     * Returns the KV cache that the request is counted with once it has generated {@code generated} tokens.
     *
     * <p>That is what it holds and what it grows by until the next time it is counted. Counting the whole output in
     * advance would leave a large part of the memory empty: most requests end long before.
     */
    public int held(int generated) {
        return prompt + generated + Math.min(GROWTH, Math.max(0, maxOutput - generated));
    }
}
