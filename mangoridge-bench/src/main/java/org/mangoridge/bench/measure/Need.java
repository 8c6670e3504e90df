package org.mangoridge.bench.measure;

import org.mangoridge.bench.load.Arrival;
import org.mangoridge.core.prefix.PrefixHashes;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.engine.OutputLength;

/**
 * The least that a request takes of the servers.
 *
 * @param outputTokens the tokens to generate
 * @param prefillTokens the prompt tokens to compute, as if the document were always cached
 * @param linkBytes the KV cache to transfer
 */
public record Need(double outputTokens, double prefillTokens, double linkBytes) {

    /** Returns the need of a request at engines of {@code profile}. */
    public static Need of(Arrival arrival, EngineProfile profile) {
        int cached = arrival.prompt().documentTokens() / PrefixHashes.BLOCK_TOKENS * PrefixHashes.BLOCK_TOKENS;
        int output = OutputLength.of(
                arrival.prompt().text(), arrival.maxTokens(), profile.sizes().minOutputTokens());
        int tokens = arrival.prompt().tokens();
        return new Need(
                output, tokens - cached, (double) tokens * profile.rates().kvBytesPerToken());
    }
}
