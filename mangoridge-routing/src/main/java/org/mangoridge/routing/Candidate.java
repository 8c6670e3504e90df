package org.mangoridge.routing;

/**
 * A possible placement with its forecast times.
 *
 * @param prefill the server that computes the KV cache
 * @param decode the server that generates the tokens
 * @param prefillSeconds forecast time until the KV cache is computed, waiting included
 * @param prefillTokens the prompt tokens that are not in the prefix cache
 * @param linkWaitSeconds forecast wait for the link after the prefill
 * @param transferSeconds forecast time on the link, waiting not included
 * @param firstTokenSeconds forecast time from now to the first token
 * @param tokenSeconds forecast time between tokens
 * @param cost the score by which candidates are compared, in seconds; lower is better
 */
record Candidate(
        ServerState prefill,
        ServerState decode,
        double prefillSeconds,
        int prefillTokens,
        double linkWaitSeconds,
        double transferSeconds,
        double firstTokenSeconds,
        double tokenSeconds,
        double cost) {

    boolean needsTransfer() {
        return prefill != decode;
    }
}
