package org.mangoridge.routing;

/**
 * A placement that could be made.
 *
 * @param prefill computes KV cache
 * @param decode generates tokens
 * @param prefillSeconds forecast time until the KV cache is there
 * @param prefillTokens the prompt tokens that are not cached
 * @param linkWaitSeconds forecast wait for the link after that
 * @param transferSeconds forecast time on the link, waiting not included
 * @param firstTokenSeconds forecast time from now to the first token
 * @param tokenSeconds forecast time between tokens
 * @param cost what the choice is made by, in seconds
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
