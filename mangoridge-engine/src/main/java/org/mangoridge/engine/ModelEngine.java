package org.mangoridge.engine;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;

/**
 * A server that runs prefill, decode or both for a model.
 *
 * <p>Calls block for a bounded time and are made on threads of requests or timers. Safe for use by several threads.
 */
public interface ModelEngine {

    /** Reserves a decode slot and memory for an attempt; gives up after {@code limit}. */
    Result<EngineMessages.ReserveResponse, EngineError> reserve(EngineMessages.ReserveRequest request, Duration limit);

    /** Computes the KV cache of a prompt and returns when it is complete; gives up after {@code limit}. */
    Result<EngineMessages.PrefillResponse, EngineError> prefill(EngineMessages.PrefillRequest request, Duration limit);

    /** Makes the engine fetch KV cache from another one, and returns when it has; gives up after {@code limit}. */
    Result<EngineMessages.ImportResponse, EngineError> importKv(EngineMessages.ImportRequest request, Duration limit);

    /** Starts generating tokens and returns their stream, which the caller closes. */
    Result<TokenStream, EngineError> decode(EngineMessages.DecodeRequest request);

    /** Releases everything held for {@code attempt}; idempotent. */
    Result<EngineMessages.CancelResponse, EngineError> cancel(AttemptId attempt);

    /** Releases everything held for {@code attempt}, over a new connection; idempotent. */
    Result<EngineMessages.CancelResponse, EngineError> cancelOnNewConnection(AttemptId attempt);

    /** Returns the attempts of {@code instance} for which the engine holds resources. */
    Result<List<EngineMessages.HeldAttempt>, EngineError> heldAttempts(InstanceId instance);

    /** Returns the latest load report. */
    Result<EngineMessages.LoadReport, EngineError> loadReport();

    /** Returns the prefix cache events with a sequence number greater than {@code sequence}. */
    Result<List<EngineMessages.CacheEvent>, EngineError> cacheEvents(long sequence);

    /** Sends an order and returns the engine's state once the order is executed. */
    Result<EngineMessages.EngineState, EngineError> order(EngineMessages.OrderRequest request);

    /** Returns the engine's current state. */
    Result<EngineMessages.EngineState, EngineError> state();
}
