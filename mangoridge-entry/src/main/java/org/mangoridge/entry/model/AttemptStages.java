package org.mangoridge.entry.model;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.ModelEngine;
import org.mangoridge.engine.TokenStream;
import org.mangoridge.entry.accounts.AttemptUsageRecorder;
import org.mangoridge.routing.AttemptOutcome;
import org.mangoridge.routing.Placement;
import org.mangoridge.routing.RoutingEvent;
import org.mangoridge.routing.StageTimeouts;

/**
 * Runs the stages of one attempt up to its token stream: reservation, prefill, KV cache import and decode.
 *
 * <p>One thread runs the stages; {@link #release()} may be called by any thread.
 */
final class AttemptStages {

    private static final long RESERVATION_TTL_MILLIS = 10_000;

    private final AttemptContext context;
    private final RoutingDriver driver;
    private final AttemptId attempt;
    private final Placement placement;
    private final Set<ServerId> contactedServers = ConcurrentHashMap.newKeySet();
    private final AttemptUsageRecorder usage;
    private volatile ServerId lostServer;
    private Verdict verdict = Verdict.NOT_RUN;

    AttemptStages(AttemptContext context, RoutingDriver driver, AttemptId attempt, Placement placement) {
        this.context = context;
        this.driver = driver;
        this.attempt = attempt;
        this.placement = placement;
        this.usage = context.ledger().usageRecorder(attempt, context.key());
    }

    /** Returns the attempt's id. */
    AttemptId attempt() {
        return attempt;
    }

    /**
     * Runs the stages and returns the open token stream.
     *
     * @param generated the text of the tokens already sent to the caller, empty in the first attempt
     * @param outputTokens the number of these tokens
     */
    Result<TokenStream, AttemptOutcome.Failed> open(String generated, int outputTokens) {
        if (placement.reserveFirst()) {
            return reserve(outputTokens)
                    .flatMap(reserved -> placement.needsTransfer() ? prefill(generated, outputTokens) : Result.ok(null))
                    .flatMap(prefilled -> prefilled == null ? Result.ok(null) : importKv(prefilled, outputTokens))
                    .flatMap(imported -> decode(generated, outputTokens));
        }
        if (!placement.needsTransfer()) {
            return reserve(outputTokens).flatMap(reserved -> decode(generated, outputTokens));
        }
        return prefill(generated, outputTokens)
                .flatMap(prefilled -> reserve(outputTokens).map(reserved -> prefilled))
                .flatMap(prefilled -> importKv(prefilled, outputTokens))
                .flatMap(imported -> decode(generated, outputTokens));
    }

    /** Records that the decode server has completed the stream and released its resources. */
    void completed() {
        usage.slotReleased();
    }

    /** Returns the timeouts of the stages. */
    StageTimeouts timeouts() {
        return placement.timeouts();
    }

    /** Cancels the attempt at all contacted servers without waiting for the acknowledgements; idempotent. */
    void release() {
        usage.slotReleased();
        for (ServerId server : contactedServers) {
            context.cancels().cancel(context.server(server).address(), attempt, server.equals(lostServer));
        }
    }

    /** Returns the failure of this attempt for an error of the decode server. */
    AttemptOutcome.Failed decodeFailed(EngineError error, int outputTokens) {
        return failure(placement.decode(), error, outputTokens);
    }

    private Result<EngineMessages.ReserveResponse, AttemptOutcome.Failed> reserve(int outputTokens) {
        EngineMessages.ReserveRequest message = new EngineMessages.ReserveRequest(
                attempt.toString(),
                context.owner().instance().value(),
                context.owner().incarnation().value(),
                context.request().promptTokens() + context.request().maxTokens(),
                RESERVATION_TTL_MILLIS,
                placement.priority());
        Result<EngineMessages.ReserveResponse, EngineError> reserved =
                contactEngine(placement.decode()).reserve(message, timeouts().reserve());
        switch (reserved) {
            case Result.Ok<EngineMessages.ReserveResponse, EngineError> ok ->
                usage.slotHeld(placement.decode(), ok.value().pieces());
            case Result.Err<EngineMessages.ReserveResponse, EngineError> err -> {
                if (err.error() instanceof EngineError.Full) {
                    contactedServers.remove(placement.decode()); // it holds nothing that needs a cancel
                }
            }
        }
        return mapError(placement.decode(), reserved, outputTokens);
    }

    private Result<EngineMessages.PrefillResponse, AttemptOutcome.Failed> prefill(String generated, int outputTokens) {
        EngineMessages.PrefillRequest message = new EngineMessages.PrefillRequest(
                attempt.toString(),
                context.owner().instance().value(),
                context.owner().incarnation().value(),
                context.service().model().value(),
                context.service().version(),
                context.request().prompt() + generated,
                placement.priority());
        Result<EngineMessages.PrefillResponse, AttemptOutcome.Failed> result = mapError(
                placement.prefill(),
                contactEngine(placement.prefill()).prefill(message, timeouts().prefill()),
                outputTokens);
        if (result.isOk()) {
            EngineMessages.PrefillResponse done = result.value();
            verdict = Verdict.RAN;
            usage.prefilled(placement.prefill(), done.promptTokens() - done.cachedTokens());
            driver.post(new RoutingEvent.PrefillDone(attempt, done.promptTokens(), done.cachedTokens()));
        }
        return result;
    }

    private Result<EngineMessages.ImportResponse, AttemptOutcome.Failed> importKv(
            EngineMessages.PrefillResponse prefilled, int outputTokens) {
        String source = context.server(placement.prefill()).address().toString();
        EngineMessages.ImportRequest message =
                new EngineMessages.ImportRequest(attempt.toString(), prefilled.handle(), source);
        return switch (contactEngine(placement.decode())
                .importKv(message, timeouts().transfer())) {
            case Result.Ok<EngineMessages.ImportResponse, EngineError> ok -> {
                usage.transferred(placement.decode(), ok.value().kvBytes());
                yield Result.ok(ok.value());
            }
            case Result.Err<EngineMessages.ImportResponse, EngineError> err ->
                Result.err(importFailed(err.error(), outputTokens));
        };
    }

    private Result<TokenStream, AttemptOutcome.Failed> decode(String generated, int outputTokens) {
        EngineMessages.DecodeRequest message = new EngineMessages.DecodeRequest(
                attempt.toString(),
                context.owner().instance().value(),
                context.owner().incarnation().value(),
                context.service().model().value(),
                context.service().version(),
                context.request().prompt(),
                generated,
                outputTokens,
                context.request().maxTokens(),
                placement.priority());
        return mapError(placement.decode(), contactEngine(placement.decode()).decode(message), outputTokens);
    }

    private <T> Result<T, AttemptOutcome.Failed> mapError(
            ServerId server, Result<T, EngineError> result, int outputTokens) {
        return switch (result) {
            case Result.Ok<T, EngineError> ok -> Result.ok(ok.value());
            case Result.Err<T, EngineError> err -> Result.err(failure(server, err.error(), outputTokens));
        };
    }

    /**
     * Returns the failure for an import error.
     *
     * <p>An import without an answer counts as a stalled transfer unless the connection could not be established. If
     * the decode server answers that the import failed, the failure is attributed to the prefill server, the source of
     * the KV cache.
     */
    private AttemptOutcome.Failed importFailed(EngineError error, int outputTokens) {
        AttemptOutcome.Failed failed = failure(placement.decode(), error, outputTokens);
        return switch (error) {
            case EngineError.TransportFailure lost
            when failed.kind() == AttemptOutcome.FailureKind.BROKEN ->
                failed.attributedTo(placement.decode(), AttemptOutcome.FailureKind.STALLED);
            case EngineError.Failed sourceFailed ->
                failed.attributedTo(placement.prefill(), AttemptOutcome.FailureKind.ERROR);
            default -> failed;
        };
    }

    private ModelEngine contactEngine(ServerId server) {
        contactedServers.add(server);
        return context.engine(server);
    }

    private AttemptOutcome.Failed failure(ServerId server, EngineError error, int outputTokens) {
        if (error instanceof EngineError.TransportFailure) {
            lostServer = server;
        }
        EventLog.write(
                LogEvent.ATTEMPT_FAILED,
                Field.of("attempt", attempt),
                Field.of("server", server),
                Field.of("detail", error.detail()));
        return new AttemptOutcome.Failed(server, failureKind(error), error.verdict(), outputTokens)
                .withVerdictAtLeast(verdict);
    }

    private static AttemptOutcome.FailureKind failureKind(EngineError error) {
        return switch (error) {
            case EngineError.TransportFailure lost
            when lost.progress() == AttemptProgress.BEFORE_CONNECT -> AttemptOutcome.FailureKind.UNREACHABLE;
            case EngineError.TransportFailure lost -> AttemptOutcome.FailureKind.BROKEN;
            case EngineError.Full full -> AttemptOutcome.FailureKind.FULL;
            case EngineError.Evicted evicted -> AttemptOutcome.FailureKind.EVICTED;
            case EngineError.Cancelled cancelled -> AttemptOutcome.FailureKind.ERROR;
            case EngineError.Rejected rejected -> AttemptOutcome.FailureKind.ERROR;
            case EngineError.Failed failed -> AttemptOutcome.FailureKind.ERROR;
        };
    }
}
