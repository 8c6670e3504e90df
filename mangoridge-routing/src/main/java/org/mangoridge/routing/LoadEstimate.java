package org.mangoridge.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;

/**
 * The estimated current load of a server: its last report, corrected by what this instance and its peers started or
 * ended since.
 *
 * <p>The last report of a server that stops reporting stays in use, and new attempts is still added to it.
 */
final class LoadEstimate {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long DELIVERY_MARGIN_NANOS = Duration.ofMillis(5).toNanos();
    private static final int MAX_ENDED_ATTEMPTS = 256;
    private static final int MAX_PEERS = 1024;

    /** An attempt of this instance on the server. */
    private record AttemptLoad(int slots, int pieces, int prefillTokens, long sentNanos) {}

    private record EndedAttempt(AttemptId attempt, AttemptLoad load) {}

    private record PeerLoad(int inFlight, long receivedNanos) {}

    private final Map<AttemptId, AttemptLoad> attempts = new HashMap<>();
    private final Deque<EndedAttempt> recentlyEnded = new ArrayDeque<>();
    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();
    private ServerLoad lastReport;
    private int slotsSinceReport;
    private int piecesSinceReport;
    private int peerSlotsSinceReport;
    private double prefillBacklogTokens;
    private long prefillBacklogNanos;
    private long linkBusyUntilNanos;

    /** Returns the last report, or null if there was none. */
    ServerLoad lastReport() {
        return lastReport;
    }

    /** Replaces the last report; attempts that it includes are no longer counted on top of it. */
    void applyReport(ServerLoad report) {
        if (lastReport != null && report.taken().compareTo(lastReport.taken()) < 0) {
            return;
        }
        lastReport = report;
        slotsSinceReport = 0;
        piecesSinceReport = 0;
        attempts.forEach((attempt, sent) -> {
            if (!report.attempts().contains(attempt)) {
                slotsSinceReport += sent.slots();
                piecesSinceReport += sent.pieces();
            }
        });
        for (EndedAttempt endedAttempt : recentlyEnded) {
            if (report.attempts().contains(endedAttempt.attempt())) {
                slotsSinceReport -= endedAttempt.load().slots();
                piecesSinceReport -= endedAttempt.load().pieces();
            }
        }
        rebuildPrefillBacklog(report);
        updatePeerSlots();
    }

    /** Adds an attempt that is sent now. */
    void addAttempt(AttemptId attempt, boolean decodes, int pieces, int prefillTokens, long nowNanos) {
        attempts.put(attempt, new AttemptLoad(decodes ? 1 : 0, decodes ? pieces : 0, prefillTokens, nowNanos));
        slotsSinceReport += decodes ? 1 : 0;
        piecesSinceReport += decodes ? pieces : 0;
        prefillBacklogTokens = queuedPrefillTokens(nowNanos) + prefillTokens;
        prefillBacklogNanos = nowNanos;
    }

    /** Removes an attempt that ended or was refused by the server. */
    void removeAttempt(AttemptId attempt) {
        AttemptLoad removed = attempts.remove(attempt);
        if (removed == null) {
            return;
        }
        slotsSinceReport -= removed.slots();
        piecesSinceReport -= removed.pieces();
        if (recentlyEnded.size() >= MAX_ENDED_ATTEMPTS) {
            recentlyEnded.removeFirst();
        }
        recentlyEnded.addLast(new EndedAttempt(attempt, removed));
    }

    /** Marks all slots as used after the server refused an attempt, until an attempt ends or the next report. */
    void markFull() {
        if (lastReport != null) {
            slotsSinceReport =
                    Math.max(slotsSinceReport, lastReport.slots() - lastReport.slotsUsed() - peerSlotsSinceReport);
        }
    }

    /** Records how many attempts a peer has in flight on this server. */
    void recordPeerInFlight(InstanceId peer, int inFlight, long nowNanos) {
        if (peers.size() < MAX_PEERS || peers.containsKey(peer)) {
            peers.put(peer, new PeerLoad(inFlight, nowNanos));
            updatePeerSlots();
        }
    }

    /** Removes a peer and its attempts. */
    void removePeer(InstanceId peer) {
        peers.remove(peer);
        updatePeerSlots();
    }

    /** Returns the estimated free slots; negative if more attempts were sent than there are slots. */
    int freeSlots() {
        return lastReport == null ? 0 : lastReport.slots() - slotsUsed();
    }

    /** Returns the estimated slots in use. */
    int slotsUsed() {
        return lastReport == null ? 0 : Math.max(0, lastReport.slotsUsed() + slotsSinceReport + peerSlotsSinceReport);
    }

    /** Returns the estimated free memory pieces. */
    int freePieces() {
        return lastReport == null ? 0 : lastReport.pieces() - lastReport.piecesUsed() - piecesSinceReport;
    }

    /** Returns the estimated prompt tokens that wait for prefill or are being prefilled. */
    double queuedPrefillTokens(long nowNanos) {
        if (lastReport == null) {
            return prefillBacklogTokens;
        }
        double completedTokens =
                lastReport.prefillTokensPerSecond() * Math.max(0, nowNanos - prefillBacklogNanos) / NANOS_PER_SECOND;
        return Math.max(0, prefillBacklogTokens - completedTokens);
    }

    /** Returns for how long this instance's planned transfers keep the link busy. */
    double linkWaitSeconds(long nowNanos) {
        return Math.max(0, linkBusyUntilNanos - nowNanos) / NANOS_PER_SECOND;
    }

    /** Adds a transfer that can begin at {@code readyNanos} to the plan of the link. */
    void planTransfer(long readyNanos, double seconds) {
        linkBusyUntilNanos = Math.max(linkBusyUntilNanos, readyNanos) + (long) (seconds * NANOS_PER_SECOND);
    }

    /** Returns the number of this instance's attempts on the server. */
    int inFlight() {
        return attempts.size();
    }

    private void rebuildPrefillBacklog(ServerLoad report) {
        long takenNanos = report.taken().toNanos();
        prefillBacklogTokens = report.prefillQueueTokens();
        prefillBacklogNanos = takenNanos;
        attempts.forEach((attempt, sent) -> {
            boolean included =
                    report.attempts().contains(attempt) || sent.sentNanos() < takenNanos - DELIVERY_MARGIN_NANOS;
            if (!included) {
                prefillBacklogTokens += sent.prefillTokens();
            }
        });
    }

    private void updatePeerSlots() {
        peerSlotsSinceReport = 0;
        if (lastReport == null || peers.isEmpty()) {
            return;
        }
        long takenNanos = lastReport.taken().toNanos();
        peers.forEach((peer, count) -> {
            if (count.receivedNanos() > takenNanos) {
                peerSlotsSinceReport += count.inFlight() - reportedAttemptsOf(peer);
            }
        });
    }

    private int reportedAttemptsOf(InstanceId peer) {
        String prefix = peer.value() + "-";
        int count = 0;
        for (AttemptId attempt : lastReport.attempts()) {
            count += attempt.request().value().startsWith(prefix) ? 1 : 0;
        }
        return count;
    }
}
