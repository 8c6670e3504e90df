package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.mangoridge.engine.EngineMessages;

/** The slots, memory and prefill results that an engine holds. */
final class HeldAttempts {

    /** The stage of an attempt that holds a slot. */
    enum Stage {
        RESERVED,
        PREFILL,
        IMPORTING,
        IMPORTED,
        DECODING;

        /** Returns whether the slot is freed if it stays in this stage beyond its TTL. */
        boolean expires() {
            return this == RESERVED || this == IMPORTED;
        }
    }

    /** The outcome of allocating a slot and memory. */
    enum Allocation {
        ALLOCATED,
        FULL
    }

    /**
     * The attempt that owns a slot or prefill result.
     *
     * @param attempt the attempt
     * @param instance the entry instance that sent the request
     * @param incarnation the incarnation of that instance
     */
    record Holder(String attempt, String instance, long incarnation) {}

    /**
     * KV cache computed by a prefill and waiting to be exported.
     *
     * @param holder its owner
     * @param tokens its size in tokens
     * @param computed how many of them were computed for it
     * @param expiresAt when it expires
     */
    record PrefillResult(Holder holder, int tokens, int computed, Duration expiresAt) {}

    private static final class Slot {
        private final Holder holder;
        private final int pieces;
        private final Duration heldSince;
        private final Duration ttl;
        private Stage stage = Stage.RESERVED;
        private Duration expiresAt;
        private int unusedPrefillTokens;

        private Slot(Holder holder, int pieces, Duration heldSince, Duration ttl) {
            this.holder = holder;
            this.pieces = pieces;
            this.heldSince = heldSince;
            this.ttl = ttl;
            this.expiresAt = heldSince.plus(ttl);
        }
    }

    private final EngineSizes sizes;
    private final WorkCounters counters;
    private final Map<String, Slot> slots = new LinkedHashMap<>();
    private final Map<String, PrefillResult> results = new LinkedHashMap<>();

    HeldAttempts(EngineSizes sizes, WorkCounters counters) {
        this.sizes = sizes;
        this.counters = counters;
    }

    /** Allocates a slot and memory, evicting prefill results if memory is short; idempotent. */
    Allocation reserve(Holder holder, int tokens, Duration ttl, Duration now) {
        expire(now);
        int pieces = sizes.piecesFor(tokens);
        if (slots.containsKey(holder.attempt())) {
            return Allocation.ALLOCATED;
        }
        if (slots.size() >= sizes.slots() || slotPieces() + pieces > sizes.pieces()) {
            return Allocation.FULL;
        }
        slots.put(holder.attempt(), new Slot(holder, pieces, now, ttl));
        evictResultsUntilFits();
        return Allocation.ALLOCATED;
    }

    /** Sets the stage of an attempt and renews its TTL; false if it holds no slot. */
    boolean advance(String attempt, Stage stage, Duration now) {
        expire(now);
        Slot slot = slots.get(attempt);
        if (slot == null) {
            return false;
        }
        slot.stage = stage;
        slot.expiresAt = now.plus(slot.ttl);
        return true;
    }

    /** Returns the stage of an attempt, or null if it holds no slot. */
    Stage stage(String attempt) {
        Slot slot = slots.get(attempt);
        return slot == null ? null : slot.stage;
    }

    /** Records prefill work that is wasted unless {@link #markPrefillUsed} follows; wasted at once without a slot. */
    void addUnusedPrefill(String attempt, int computed) {
        Slot slot = slots.get(attempt);
        if (slot == null) {
            counters.addWastedPrefillTokens(computed);
        } else {
            slot.unusedPrefillTokens += computed;
        }
    }

    /** Records that a token was generated from the attempt's KV cache, so that its prefill is not wasted. */
    void markPrefillUsed(String attempt) {
        slots.get(attempt).unusedPrefillTokens = 0;
    }

    /** Stores a prefill result until it is exported, expires or is evicted. */
    void store(PrefillResult result, Duration now) {
        expire(now);
        PrefillResult replaced = results.put(result.holder().attempt(), result);
        if (replaced != null) {
            counters.addWastedPrefillTokens(replaced.computed());
        }
        evictResultsUntilFits();
    }

    /** Removes and returns a prefill result; null if it is not held. */
    PrefillResult export(String handle, Duration now) {
        expire(now);
        return results.remove(handle);
    }

    /** Releases everything held for an attempt; returns whether anything was held. */
    boolean release(String attempt, Duration now) {
        expire(now);
        Slot slot = slots.remove(attempt);
        if (slot != null) {
            recordFreed(slot, now);
        }
        PrefillResult result = results.remove(attempt);
        if (result != null) {
            counters.addWastedPrefillTokens(result.computed());
        }
        return slot != null || result != null;
    }

    /** Returns the slots and prefill results held for {@code instance}. */
    List<EngineMessages.HeldAttempt> list(String instance, Duration now) {
        expire(now);
        List<EngineMessages.HeldAttempt> held = new ArrayList<>();
        slots.values().stream()
                .filter(slot -> slot.holder.instance().equals(instance))
                .forEach(slot -> held.add(held(slot.holder, slot.stage.name().toLowerCase(Locale.ROOT), slot.pieces)));
        results.values().stream()
                .filter(result -> result.holder().instance().equals(instance))
                .forEach(result -> held.add(held(result.holder(), "prefilled", sizes.piecesFor(result.tokens()))));
        return held;
    }

    static EngineMessages.HeldAttempt held(Holder holder, String stage, int pieces) {
        return new EngineMessages.HeldAttempt(holder.attempt(), holder.instance(), holder.incarnation(), stage, pieces);
    }

    List<String> attempts() {
        return List.copyOf(slots.keySet());
    }

    int slotsUsed() {
        return slots.size();
    }

    int decoding() {
        return (int) slots.values().stream()
                .filter(slot -> slot.stage == Stage.DECODING)
                .count();
    }

    int piecesUsed() {
        return slotPieces() + resultPieces();
    }

    /** Returns the total time for which the currently held slots have been held. */
    Duration heldTime(Duration now) {
        return slots.values().stream().map(slot -> now.minus(slot.heldSince)).reduce(Duration.ZERO, Duration::plus);
    }

    /** Releases everything. */
    void clear(Duration now) {
        List.copyOf(slots.keySet()).forEach(attempt -> release(attempt, now));
        List.copyOf(results.keySet()).forEach(attempt -> release(attempt, now));
    }

    /** Frees slots and prefill results whose TTL has passed. */
    void expire(Duration now) {
        for (Iterator<Slot> all = slots.values().iterator(); all.hasNext(); ) {
            Slot slot = all.next();
            if (slot.stage.expires() && slot.expiresAt.compareTo(now) < 0) {
                all.remove();
                recordFreed(slot, now);
            }
        }
        results.values().removeIf(result -> {
            boolean expired = result.expiresAt().compareTo(now) < 0;
            if (expired) {
                counters.addWastedPrefillTokens(result.computed());
            }
            return expired;
        });
    }

    private void recordFreed(Slot slot, Duration now) {
        counters.addWastedPrefillTokens(slot.unusedPrefillTokens);
        counters.addSlotTime(now.minus(slot.heldSince));
    }

    private int slotPieces() {
        return slots.values().stream().mapToInt(slot -> slot.pieces).sum();
    }

    private int resultPieces() {
        return results.values().stream()
                .mapToInt(result -> sizes.piecesFor(result.tokens()))
                .sum();
    }

    private void evictResultsUntilFits() {
        Iterator<PrefillResult> oldest = results.values().iterator();
        while (piecesUsed() > sizes.pieces() && oldest.hasNext()) {
            counters.addWastedPrefillTokens(oldest.next().computed());
            oldest.remove();
        }
    }
}
