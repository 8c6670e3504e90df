package org.mangoridge.engine;

import java.util.List;

/** The JSON messages of an engine, as {@code docs/ENGINE-PROTOCOL.md} describes them. */
public final class EngineMessages {

    private EngineMessages() {}

    /**
     * Asks a decode engine for a slot and memory before prefill begins.
     *
     * @param attempt the attempt
     * @param instance the entry instance that asks
     * @param incarnation the run of that instance
     * @param tokens the tokens of KV cache that the request may need, prompt and output
     * @param ttlMillis how long an unused reservation is held
     * @param priority greater is served first
     */
    public record ReserveRequest(
            String attempt, String instance, long incarnation, int tokens, long ttlMillis, int priority) {}

    /**
     * Answers a reservation.
     *
     * @param attempt the attempt
     * @param pieces the memory pieces held
     */
    public record ReserveResponse(String attempt, int pieces) {}

    /**
     * Asks for the KV cache of a prompt.
     *
     * @param attempt the attempt
     * @param instance the entry instance that asks
     * @param incarnation the run of that instance
     * @param model the model
     * @param version the version of the model
     * @param prompt the prompt
     * @param priority greater is served first
     */
    public record PrefillRequest(
            String attempt,
            String instance,
            long incarnation,
            String model,
            String version,
            String prompt,
            int priority) {}

    /**
     * Answers a prefill when it is done.
     *
     * @param attempt the attempt
     * @param handle names the result for import
     * @param promptTokens the prompt's tokens
     * @param cachedTokens how many of them were found in the prefix cache
     * @param kvBytes the size of the result
     */
    public record PrefillResponse(String attempt, String handle, int promptTokens, int cachedTokens, long kvBytes) {}

    /**
     * Asks a decode engine to fetch a prefill result from the engine that holds it.
     *
     * @param attempt the attempt, which holds a reservation
     * @param handle names the result
     * @param source the address of the engine that holds it
     */
    public record ImportRequest(String attempt, String handle, String source) {}

    /**
     * Answers an import when it is done.
     *
     * @param attempt the attempt
     * @param kvBytes the bytes fetched
     */
    public record ImportResponse(String attempt, long kvBytes) {}

    /**
     * Asks for tokens.
     *
     * @param attempt the attempt, which holds a reservation
     * @param instance the entry instance that asks
     * @param incarnation the run of that instance
     * @param model the model
     * @param version the version of the model
     * @param prompt the prompt, for an engine that has to compute KV cache itself
     * @param generated the text of the tokens that the caller already has
     * @param firstIndex the index of the first token wanted
     * @param maxTokens the index after the last token wanted
     * @param priority greater is served first
     */
    public record DecodeRequest(
            String attempt,
            String instance,
            long incarnation,
            String model,
            String version,
            String prompt,
            String generated,
            int firstIndex,
            int maxTokens,
            int priority) {}

    /**
     * One event of a token stream.
     *
     * @param attempt the attempt that the event belongs to
     * @param index the token's index
     * @param text the token's text, or null in the last event
     * @param finish why the stream ended, or null before the last event
     */
    public record StreamEvent(String attempt, int index, String text, String finish) {}

    /**
     * A report of load, which lags.
     *
     * @param role what the engine does: prefill, decode or both
     * @param model the model loaded
     * @param version the version loaded
     * @param slots how many requests can decode at once
     * @param slotsUsed how many slots are held, reservations included
     * @param pieces how many memory pieces there are
     * @param piecesUsed how many are held
     * @param pieceTokens the tokens that a piece holds
     * @param prefillQueueTokens the prompt tokens that wait for prefill or are in it
     * @param prefillTokensPerSecond the prefill rate
     * @param linkBytesPerSecond the rate of the link that carries KV cache
     * @param kvBytesPerToken the size of KV cache a token
     * @param ageMillis how old the report is
     * @param attempts the attempts that the counts include
     */
    public record LoadReport(
            String role,
            String model,
            String version,
            int slots,
            int slotsUsed,
            int pieces,
            int piecesUsed,
            int pieceTokens,
            long prefillQueueTokens,
            long prefillTokensPerSecond,
            long linkBytesPerSecond,
            long kvBytesPerToken,
            long ageMillis,
            List<String> attempts) {

        public LoadReport {
            attempts = attempts == null ? List.of() : List.copyOf(attempts);
        }
    }

    /**
     * The work that an engine holds.
     *
     * @param held one entry for each attempt
     */
    public record HeldAttemptList(List<HeldAttempt> held) {}

    /**
     * One attempt that an engine holds something for.
     *
     * @param attempt the attempt
     * @param instance the entry instance that asked
     * @param incarnation the run of that instance
     * @param stage reserved, prefill, prefilled, importing, imported or decoding
     * @param pieces the memory pieces held
     */
    public record HeldAttempt(String attempt, String instance, long incarnation, String stage, int pieces) {}

    /**
     * Answers a cancel.
     *
     * @param attempt the attempt
     * @param released whether anything was held
     */
    public record CancelResponse(String attempt, boolean released) {}

    /**
     * Events of the prefix cache, late and with gaps.
     *
     * @param events the events after the sequence number asked for
     */
    public record CacheEvents(List<CacheEvent> events) {}

    /**
     * One event of the prefix cache.
     *
     * @param sequence its number; a gap shows as a missing number
     * @param prefix the hash of the prefix, as {@code PrefixHashes} computes it
     * @param tokens the prefix's tokens
     * @param stored true when stored, false when evicted
     */
    public record CacheEvent(long sequence, long prefix, int tokens, boolean stored) {}

    /**
     * An order to an engine.
     *
     * @param id names the order, the same when it is repeated
     * @param fencing the fencing number of the lease that the sender holds
     * @param kind load-model, load-adapter or change-role
     * @param model the model or adapter to load, or null
     * @param version its version, or null
     * @param role the role to take, or null
     */
    public record OrderRequest(String id, long fencing, String kind, String model, String version, String role) {}

    /**
     * An engine's state, read back after orders.
     *
     * @param role its role
     * @param model the model loaded
     * @param version the version loaded
     * @param lastFencing the greatest fencing number seen, or 0 if the engine ignores them
     * @param lastOrder the id of the last order obeyed, or null
     * @param busy whether an order is being carried out
     */
    public record EngineState(
            String role, String model, String version, long lastFencing, String lastOrder, boolean busy) {}
}
