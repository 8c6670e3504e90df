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
 * Finds out which instances have not adopted a generation.
 *
 * <p>What an instance knows of others comes late, so those that seem to lag are asked themselves.
 */
final class LaggingPeers {

    private static final int MAX_ASKED = 64;

    private final ConfigPeers peers;

    LaggingPeers(ConfigPeers peers) {
        this.peers = peers;
    }

    /** Returns the instances that lag behind {@code wanted}, with what each has in force; blocks for a bounded time. */
    List<PeerGeneration> behind(Generation wanted) {
        List<PeerGeneration> suspects = peers.view().generations().stream()
                .filter(peer -> wanted.isAfter(peer.generation()))
                .toList();
        List<CompletableFuture<PeerGeneration>> answers = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (PeerGeneration suspect : suspects) {
                answers.add(
                        answers.size() < MAX_ASKED
                                ? CompletableFuture.supplyAsync(() -> asked(suspect, wanted), threads)
                                : CompletableFuture.completedFuture(suspect));
            }
        }
        return answers.stream()
                .map(CompletableFuture::join)
                .filter(peer -> wanted.isAfter(peer.generation()))
                .toList();
    }

    private PeerGeneration asked(PeerGeneration suspect, Generation wanted) {
        Result<ConfigPeers.Answer, String> answer = peers.ask(suspect.instance(), wanted);
        return answer.isOk()
                ? new PeerGeneration(suspect.instance(), answer.value().generation())
                : suspect;
    }
}
