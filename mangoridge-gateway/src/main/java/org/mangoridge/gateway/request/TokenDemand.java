package org.mangoridge.gateway.request;

import org.mangoridge.core.Checks;

/**
 * The tokens that a model request needs.
 *
 * @param prompt tokens of the prompt
 * @param maxOutput the most tokens that it generates
 */
public record TokenDemand(int prompt, int maxOutput) {

    /** The demand of a request that is not a model request. */
    public static final TokenDemand NONE = new TokenDemand(0, 0);

    public TokenDemand {
        Checks.argument(prompt >= 0 && maxOutput >= 0, "token counts must not be negative");
    }

    /** Returns the KV cache that the request holds at its end, in tokens. */
    public int total() {
        return prompt + maxOutput;
    }
}
