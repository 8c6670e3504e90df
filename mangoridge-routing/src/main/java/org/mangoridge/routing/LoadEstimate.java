package org.mangoridge.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;

/**
 * What a server is believed to hold now: its last report, plus what this instance and its peers sent or ended since.
 *
 * <p>A server that stops reporting keeps its last estimate, to which new work is added.
 */
final class LoadEstimate {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long ARRIVAL_MARGIN_NANOS = Duration.ofMillis(5).toNanos();
    private static final int MAX_ENDED = 256;
    private static final int MAX_PEERS = 1024;

    /** Work of this instance at the server. */
    private record Work(int slots, int pieces, int prefillTokens, long sentNanos) {}

    private record Ended(AttemptId attempt, Work work) {}

    private record PeerCount(int inFlight, long heardNanos) {}

    private final Map<AttemptId, Work> work = new HashMap<>();
    private final Deque<Ended> ended = new ArrayDeque<>();
    private final Map<InstanceId, PeerCount> peers = new HashMap<>();
    private ServerLoad load;
    private int slotsSince;
    private int piecesSince;
    private int peerSlotsSince;
    private double backlogTokens;
    private long backlogNanos;
    private long linkFreeNanos;

    /** Returns the last report, or null. */
    ServerLoad lastReport() {
        return load;
    }

    /** Takes a report in; work that it includes is no longer added to it. */
    void applyReport(ServerLoad report) {
        if (load != null && report.taken().compareTo(load.taken()) < 0) {
            return;
        }
        load = report;
        slotsSince = 0;
        piecesSince = 0;
        work.forEach((attempt, sent) -> {
            if (!report.attempts().contains(attempt)) {
                slotsSince += sent.slots();
                piecesSince += sent.pieces();
            }
        });
        for (Ended past : ended) {
            if (report.attempts().contains(past.attempt())) {
                slotsSince -= past.work().slots();
                piecesSince -= past.work().pieces();
            }
        }
        rebuildPrefillBacklog(report);
        updatePeerSlots();
    }

    /** Adds work that is sent now. */
    void addAttempt(AttemptId attempt, boolean decodes, int pieces, int prefillTokens, long nowNanos) {
        work.put(attempt, new Work(decodes ? 1 : 0, decodes ? pieces : 0, prefillTokens, nowNanos));
        slotsSince += decodes ? 1 : 0;
        piecesSince += decodes ? pieces : 0;
        backlogTokens = queuedPrefillTokens(nowNanos) + prefillTokens;
        backlogNanos = nowNanos;
    }

    /** Takes off work that ended or was refused. */
    void removeAttempt(AttemptId attempt) {
        Work past = work.remove(attempt);
        if (past == null) {
            return;
        }
        slotsSince -= past.slots();
        piecesSince -= past.pieces();
        if (ended.size() >= MAX_ENDED) {
            ended.removeFirst();
        }
        ended.addLast(new Ended(attempt, past));
    }

    /** Notes that the server said it has no room; holds until a slot is seen to end or the next report. */
    void markFull() {
        if (load != null) {
            slotsSince = Math.max(slotsSince, load.slots() - load.slotsUsed() - peerSlotsSince);
        }
    }

    /** Notes how many requests of a peer are here. */
    void recordPeerInFlight(InstanceId peer, int inFlight, long nowNanos) {
        if (peers.size() < MAX_PEERS || peers.containsKey(peer)) {
            peers.put(peer, new PeerCount(inFlight, nowNanos));
            updatePeerSlots();
        }
    }

    /** Forgets a peer. */
    void removePeer(InstanceId peer) {
        peers.remove(peer);
        updatePeerSlots();
    }

    /** Returns the slots believed free; negative if more was sent than fits. */
    int freeSlots() {
        return load == null ? 0 : load.slots() - slotsUsed();
    }

    /** Returns the slots believed used. */
    int slotsUsed() {
        return load == null ? 0 : Math.max(0, load.slotsUsed() + slotsSince + peerSlotsSince);
    }

    /** Returns the memory pieces believed free. */
    int freePieces() {
        return load == null ? 0 : load.pieces() - load.piecesUsed() - piecesSince;
    }

    /** Returns the prompt tokens believed to wait for prefill or to be in it. */
    double queuedPrefillTokens(long nowNanos) {
        if (load == null) {
            return backlogTokens;
        }
        double drained = load.prefillTokensPerSecond() * Math.max(0, nowNanos - backlogNanos) / NANOS_PER_SECOND;
        return Math.max(0, backlogTokens - drained);
    }

    /** Returns how long the link is believed to be busy with transfers of this instance. */
    double linkWaitSeconds(long nowNanos) {
        return Math.max(0, linkFreeNanos - nowNanos) / NANOS_PER_SECOND;
    }

    /** Plans a transfer that can begin at {@code readyNanos}. */
    void planTransfer(long readyNanos, double seconds) {
        linkFreeNanos = Math.max(linkFreeNanos, readyNanos) + (long) (seconds * NANOS_PER_SECOND);
    }

    /** Returns how many attempts of this instance are here. */
    int inFlight() {
        return work.size();
    }

    private void rebuildPrefillBacklog(ServerLoad report) {
        long takenNanos = report.taken().toNanos();
        backlogTokens = report.prefillQueueTokens();
        backlogNanos = takenNanos;
        work.forEach((attempt, sent) -> {
            boolean included =
                    report.attempts().contains(attempt) || sent.sentNanos() < takenNanos - ARRIVAL_MARGIN_NANOS;
            if (!included) {
                backlogTokens += sent.prefillTokens();
            }
        });
    }

    private void updatePeerSlots() {
        peerSlotsSince = 0;
        if (load == null || peers.isEmpty()) {
            return;
        }
        long takenNanos = load.taken().toNanos();
        peers.forEach((peer, count) -> {
            if (count.heardNanos() > takenNanos) {
                peerSlotsSince += count.inFlight() - reportedAttemptsOf(peer);
            }
        });
    }

    private int reportedAttemptsOf(InstanceId peer) {
        String prefix = peer.value() + "-";
        int count = 0;
        for (AttemptId attempt : load.attempts()) {
            count += attempt.request().value().startsWith(prefix) ? 1 : 0;
        }
        return count;
    }
}
