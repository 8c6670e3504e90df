package org.mangoridge.entry.config;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.mangoridge.config.distribution.ConfigPeers;
import org.mangoridge.config.distribution.ConfigPeers.PeerGeneration;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;

/**
 * Finds the instances that have not adopted a generation.
 *
 * <p>The generations in the membership view can be outdated, so up to {@link #MAX_PEERS_ASKED} instances that seem to
 * lag are asked directly.
 */
final class LaggingPeers {

    private static final int MAX_PEERS_ASKED = 64;

    private final ConfigPeers peers;

    LaggingPeers(ConfigPeers peers) {
        this.peers = peers;
    }

    /** Returns the instances below the generation {@code wanted}, each with its own; blocks for a bounded time. */
    List<PeerGeneration> findBehind(Generation wanted) {
        List<PeerGeneration> candidates = peers.view().generations().stream()
                .filter(peer -> wanted.isAfter(peer.generation()))
                .toList();
        List<CompletableFuture<PeerGeneration>> answers = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (PeerGeneration candidate : candidates) {
                answers.add(
                        answers.size() < MAX_PEERS_ASKED
                                ? CompletableFuture.supplyAsync(() -> askPeer(candidate, wanted), executor)
                                : CompletableFuture.completedFuture(candidate));
            }
        }
        return answers.stream()
                .map(CompletableFuture::join)
                .filter(peer -> wanted.isAfter(peer.generation()))
                .toList();
    }

    private PeerGeneration askPeer(PeerGeneration candidate, Generation wanted) {
        Result<ConfigPeers.Answer, String> answer = peers.ask(candidate.instance(), wanted);
        return answer.isOk()
                ? new PeerGeneration(candidate.instance(), answer.value().generation())
                : candidate;
    }
}
