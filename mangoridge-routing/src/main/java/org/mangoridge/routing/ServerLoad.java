package org.mangoridge.routing;

import java.time.Duration;
import java.util.Set;

import org.mangoridge.core.id.AttemptId;

/**
 * A load report of a server.
 *
 * @param slots the number of requests that can decode concurrently
 * @param slotsUsed the slots in use, reservations included
 * @param pieces the number of memory pieces for KV cache
 * @param piecesUsed the memory pieces in use
 * @param pieceTokens the tokens that a piece holds
 * @param prefillQueueTokens the prompt tokens that wait for prefill or are being prefilled
 * @param prefillTokensPerSecond the prefill throughput
 * @param linkBytesPerSecond the bandwidth of the link for KV cache transfers
 * @param kvBytesPerToken the size of the KV cache per token
 * @param model the loaded model
 * @param version the loaded version of the model
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
