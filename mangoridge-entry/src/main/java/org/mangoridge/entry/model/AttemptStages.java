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

/** The stages of one attempt up to its token stream: reserve, prefill, import, decode. */
final class AttemptStages {

    private static final long RESERVATION_TTL_MILLIS = 10_000;

    private final AttemptContext context;
    private final RoutingDriver driver;
    private final AttemptId attempt;
    private final Placement placement;
    private final Set<ServerId> touched = ConcurrentHashMap.newKeySet();
    private final AttemptUsageRecorder use;
    private volatile ServerId lost;
    private Verdict verdict = Verdict.NOT_RUN;

    AttemptStages(AttemptContext context, RoutingDriver driver, AttemptId attempt, Placement placement) {
        this.context = context;
        this.driver = driver;
        this.attempt = attempt;
        this.placement = placement;
        this.use = context.ledger().usageRecorder(attempt, context.key());
    }

    /** Returns the attempt's id. */
    AttemptId attempt() {
        return attempt;
    }

    /** Runs the stages; {@code generated} holds the {@code outputTokens} tokens that the caller already has. */
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

    /** Notes that the decode server has ended the stream and released everything. */
    void completed() {
        use.slotReleased();
    }

    /** Returns how long the stages may take. */
    StageTimeouts timeouts() {
        return placement.timeouts();
    }

    /** Has whatever the attempt holds at its servers released and does not wait for it; idempotent. */
    void release() {
        use.slotReleased();
        for (ServerId server : touched) {
            context.cancels().cancel(context.server(server).address(), attempt, server.equals(lost));
        }
    }

    /** Returns the failure that {@code error} of the decode server means. */
    AttemptOutcome.Failed decodeFailed(EngineError error, int outputTokens) {
        return failed(placement.decode(), error, outputTokens);
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
                engine(placement.decode()).reserve(message, timeouts().reserve());
        switch (reserved) {
            case Result.Ok<EngineMessages.ReserveResponse, EngineError> ok ->
                use.slotHeld(placement.decode(), ok.value().pieces());
            case Result.Err<EngineMessages.ReserveResponse, EngineError> err -> {
                if (err.error() instanceof EngineError.Full) {
                    touched.remove(placement.decode());
                }
            }
        }
        return check(placement.decode(), reserved, outputTokens);
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
        Result<EngineMessages.PrefillResponse, AttemptOutcome.Failed> result = check(
                placement.prefill(),
                engine(placement.prefill()).prefill(message, timeouts().prefill()),
                outputTokens);
        if (result.isOk()) {
            EngineMessages.PrefillResponse done = result.value();
            verdict = Verdict.RAN;
            use.prefilled(placement.prefill(), done.promptTokens() - done.cachedTokens());
            driver.post(new RoutingEvent.PrefillDone(attempt, done.promptTokens(), done.cachedTokens()));
        }
        return result;
    }

    private Result<EngineMessages.ImportResponse, AttemptOutcome.Failed> importKv(
            EngineMessages.PrefillResponse prefilled, int outputTokens) {
        String source = context.server(placement.prefill()).address().toString();
        EngineMessages.ImportRequest message =
                new EngineMessages.ImportRequest(attempt.toString(), prefilled.handle(), source);
        return switch (engine(placement.decode()).importKv(message, timeouts().transfer())) {
            case Result.Ok<EngineMessages.ImportResponse, EngineError> ok -> {
                use.transferred(placement.decode(), ok.value().kvBytes());
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
        return check(placement.decode(), engine(placement.decode()).decode(message), outputTokens);
    }

    private <T> Result<T, AttemptOutcome.Failed> check(
            ServerId server, Result<T, EngineError> result, int outputTokens) {
        return switch (result) {
            case Result.Ok<T, EngineError> ok -> Result.ok(ok.value());
            case Result.Err<T, EngineError> err -> Result.err(failed(server, err.error(), outputTokens));
        };
    }

    /** An import that brings no answer in time is stalled; one that found no source is the source's fault. */
    private AttemptOutcome.Failed importFailed(EngineError error, int outputTokens) {
        AttemptOutcome.Failed failed = failed(placement.decode(), error, outputTokens);
        return switch (error) {
            case EngineError.TransportFailure gone
            when failed.kind() == AttemptOutcome.FailureKind.BROKEN ->
                failed.attributedTo(placement.decode(), AttemptOutcome.FailureKind.STALLED);
            case EngineError.Failed source ->
                failed.attributedTo(placement.prefill(), AttemptOutcome.FailureKind.ERROR);
            default -> failed;
        };
    }

    private ModelEngine engine(ServerId server) {
        touched.add(server);
        return context.engine(server);
    }

    private AttemptOutcome.Failed failed(ServerId server, EngineError error, int outputTokens) {
        if (error instanceof EngineError.TransportFailure) {
            lost = server;
        }
        EventLog.write(
                LogEvent.ATTEMPT_FAILED,
                Field.of("attempt", attempt),
                Field.of("server", server),
                Field.of("detail", error.detail()));
        return new AttemptOutcome.Failed(server, kind(error), error.verdict(), outputTokens)
                .withVerdictAtLeast(verdict);
    }

    private static AttemptOutcome.FailureKind kind(EngineError error) {
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
