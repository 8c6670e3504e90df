package org.mangoridge.routing;

import java.time.Duration;
import java.util.Set;

import org.mangoridge.core.id.AttemptId;

/**
 * A report of a server's load.
 *
 * @param slots how many requests can decode at once
 * @param slotsUsed how many slots are held, reservations included
 * @param pieces how many memory pieces there are
 * @param piecesUsed how many are held
 * @param pieceTokens the tokens that a piece holds
 * @param prefillQueueTokens the prompt tokens that wait for prefill or are in it
 * @param prefillTokensPerSecond the prefill rate
 * @param linkBytesPerSecond the rate of the link that carries KV cache
 * @param kvBytesPerToken the size of KV cache a token
 * @param model the model loaded
 * @param version the version loaded
 * @param taken when the counts were taken, on the monotonic clock of this instance
 * @param attempts the attempts that the counts include
 */
public record ServerLoad(
        int slots,
        int slotsUsed,
        int pieces,
        int piecesUsed,
        int pieceTokens,
        long prefillQueueTokens,
        long prefillTokensPerSecond,
        long linkBytesPerSecond,
        long kvBytesPerToken,
        String model,
        String version,
        Duration taken,
        Set<AttemptId> attempts) {

    public ServerLoad {
        attempts = Set.copyOf(attempts);
    }
}
