package org.mangoridge.engine;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;

/**
 * One model engine.
 *
 * <p>Calls block for a bounded time and are made on traffic threads or timers. Safe for use by several threads.
 */
public interface ModelEngine {

    /** Holds a decode slot and memory for an attempt; gives up after {@code limit}. */
    Result<EngineMessages.ReserveResponse, EngineError> reserve(EngineMessages.ReserveRequest request, Duration limit);

    /** Computes KV cache and returns when it is done; gives up after {@code limit}. */
    Result<EngineMessages.PrefillResponse, EngineError> prefill(EngineMessages.PrefillRequest request, Duration limit);

    /** Fetches KV cache from another engine and returns when it is here; gives up after {@code limit}. */
    Result<EngineMessages.ImportResponse, EngineError> importKv(EngineMessages.ImportRequest request, Duration limit);

    /** Starts generating tokens; the caller closes the stream. */
    Result<TokenStream, EngineError> decode(EngineMessages.DecodeRequest request);

    /** Releases everything held for {@code attempt}; idempotent. */
    Result<EngineMessages.CancelResponse, EngineError> cancel(AttemptId attempt);

    /** Releases everything held for {@code attempt}, over a connection opened for this call; idempotent. */
    Result<EngineMessages.CancelResponse, EngineError> cancelOnNewConnection(AttemptId attempt);

    /** Lists what the engine holds for requests of {@code instance}. */
    Result<List<EngineMessages.HeldAttempt>, EngineError> heldAttempts(InstanceId instance);

    /** Returns the last report of load. */
    Result<EngineMessages.LoadReport, EngineError> loadReport();

    /** Returns the events of the prefix cache after {@code sequence}. */
    Result<List<EngineMessages.CacheEvent>, EngineError> cacheEvents(long sequence);

    /** Gives an order; returns the engine's state when it is obeyed. */
    Result<EngineMessages.EngineState, EngineError> order(EngineMessages.OrderRequest request);

    /** Reads the engine's state. */
    Result<EngineMessages.EngineState, EngineError> state();
}
