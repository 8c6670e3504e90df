package org.mangoridge.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.RequestId;

/** Tracks attempts from start to end, updates the load estimates and calibrates the forecasts with observed times. */
final class AttemptTracker {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PREFILL_OVERHEAD_SECONDS = 0.005;
    private static final double FIRST_TOKEN_OVERHEAD_SECONDS = 0.003;

    /** The ratio of observed to forecast time that is assumed for a transfer that didn't complete. */
    private static final double STALLED_TRANSFER_RATIO = 10;

    private static final int MIN_TOKENS_FOR_LATENCY_SAMPLE = 8;

    private final ServerTable servers;
    private final WorkspaceShares shares;
    private final OutputLengths lengths;
    private final Map<RequestId, TrackedRequest> requests = new HashMap<>();

    AttemptTracker(ServerTable servers, WorkspaceShares shares, OutputLengths lengths) {
        this.servers = servers;
        this.shares = shares;
        this.lengths = lengths;
    }

    /** Starts tracking a request. */
    TrackedRequest track(RequestFacts facts) {
        TrackedRequest request = new TrackedRequest(facts);
        requests.put(facts.id(), request);
        return request;
    }

    Optional<TrackedRequest> find(RequestId id) {
        return Optional.ofNullable(requests.get(id));
    }

    /** Returns the request that {@code attempt} runs for; empty if the attempt is no longer current. */
    Optional<TrackedRequest> findRunning(AttemptId attempt) {
        TrackedRequest request = requests.get(attempt.request());
        return request != null && request.isRunning() && request.attempt().equals(attempt)
                ? Optional.of(request)
                : Optional.empty();
    }

    /** Stops tracking a request. */
    void forget(RequestId id) {
        requests.remove(id);
    }

    int size() {
        return requests.size();
    }

    /** Starts an attempt on the servers of {@code candidate} and adds it to their load estimates. */
    AttemptId startAttempt(TrackedRequest request, Candidate candidate, long nowNanos) {
        AttemptId attempt = request.startAttempt(candidate, nowNanos);
        RequestFacts facts = request.facts();
        int pieces = PlacementSearch.requiredPieces(
                candidate.decode().estimate().lastReport(), facts.promptTokens() + facts.maxTokens());
        if (candidate.needsTransfer()) {
            candidate.prefill().estimate().addAttempt(attempt, false, 0, candidate.prefillTokens(), nowNanos);
            candidate.decode().estimate().addAttempt(attempt, true, pieces, 0, nowNanos);
            long readyNanos = nowNanos + (long) (candidate.prefillSeconds() * NANOS_PER_SECOND);
            candidate.decode().estimate().planTransfer(readyNanos, candidate.transferSeconds());
        } else {
            candidate.decode().estimate().addAttempt(attempt, true, pieces, candidate.prefillTokens(), nowNanos);
        }
        shares.attemptStarted(facts.caller().workspace());
        return attempt;
    }

    /** Records that the prefill completed, and calibrates its forecast with the observed time. */
    void recordPrefillDone(TrackedRequest request, int computedTokens, long nowNanos) {
        Candidate candidate = request.candidate();
        request.recordPrefillDone(nowNanos);
        if (candidate.needsTransfer()) {
            candidate.prefill().estimate().removeAttempt(request.attempt());
            candidate.prefill().health().recordSuccess();
        }
        candidate.prefill().prefixes().addAll(request.facts().prefixes(), nowNanos);
        double rate = candidate.prefill().estimate().lastReport().prefillTokensPerSecond();
        double uncached = (computedTokens - candidate.prefillTokens()) / Math.max(1, rate);
        candidate
                .prefill()
                .prefillCalibration()
                .learn(
                        request.uncalibratedPrefillSeconds() + uncached + PREFILL_OVERHEAD_SECONDS,
                        seconds(nowNanos - request.placedNanos()),
                        nowNanos);
    }

    /** Records that the first token was sent, and calibrates the transfer forecast. */
    void recordFirstToken(TrackedRequest request, long nowNanos) {
        request.recordFirstToken(nowNanos);
        Candidate candidate = request.candidate();
        if (request.prefillDoneNanos() > 0 && candidate.needsTransfer()) {
            double ratio = candidate.decode().transferCalibration().ratio(nowNanos);
            double forecast = candidate.transferSeconds() / ratio + FIRST_TOKEN_OVERHEAD_SECONDS;
            double observed = seconds(nowNanos - request.prefillDoneNanos()) - candidate.tokenSeconds();
            candidate.decode().transferCalibration().learn(forecast, observed, nowNanos);
        }
    }

    /** Ends the running attempt and returns the seconds for which it held its slot. */
    double endAttempt(TrackedRequest request, AttemptOutcome outcome, long nowNanos) {
        Candidate candidate = request.candidate();
        candidate.prefill().estimate().removeAttempt(request.attempt());
        candidate.decode().estimate().removeAttempt(request.attempt());
        shares.attemptEnded(request.facts().caller().workspace());
        request.endAttempt();
        switch (outcome) {
            case AttemptOutcome.Completed completed -> recordCompletion(request, completed.outputTokens(), nowNanos);
            case AttemptOutcome.CallerGone gone -> {
                // a disconnected caller is no evidence about the servers
            }
            case AttemptOutcome.Failed failed -> recordFailure(request, failed, nowNanos);
        }
        return seconds(nowNanos - request.placedNanos());
    }

    private void recordCompletion(TrackedRequest request, int outputTokens, long nowNanos) {
        ServerState decode = request.candidate().decode();
        decode.health().recordSuccess();
        int tokens = outputTokens - request.outputTokens();
        lengths.learn(request.facts().caller().id(), outputTokens);
        if (tokens >= MIN_TOKENS_FOR_LATENCY_SAMPLE && request.firstTokenNanos() > 0) {
            double interval = seconds(nowNanos - request.firstTokenNanos()) / (tokens - 1);
            double slots = (request.slotsAtFirstToken() + decode.estimate().slotsUsed() + 1) / 2;
            decode.tokenLatency().learn(slots, interval, nowNanos);
        }
    }

    private void recordFailure(TrackedRequest request, AttemptOutcome.Failed failed, long nowNanos) {
        request.recordFailure(failed);
        ServerState server = servers.find(failed.server()).orElse(null);
        if (server == null) {
            return;
        }
        switch (failed.kind()) {
            case FULL -> server.estimate().markFull();
            case EVICTED -> server.transferCalibration().learn(1, STALLED_TRANSFER_RATIO, nowNanos);
            case STALLED -> {
                server.transferCalibration().learn(1, STALLED_TRANSFER_RATIO, nowNanos);
                server.health().recordStall(nowNanos);
            }
            case UNREACHABLE -> server.health().recordFailure(true, nowNanos);
            default -> server.health().recordFailure(false, nowNanos);
        }
    }

    private static double seconds(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }
}
