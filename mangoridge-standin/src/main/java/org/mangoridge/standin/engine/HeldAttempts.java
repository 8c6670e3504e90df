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

    /** What happens with an attempt that holds a slot. */
    enum Stage {
        RESERVED,
        PREFILL,
        IMPORTING,
        IMPORTED,
        DECODING;

        /** Tells whether the slot is freed when nothing happens for long. */
        boolean expires() {
            return this == RESERVED || this == IMPORTED;
        }
    }

    /** How a reservation is answered. */
    enum Room {
        HELD,
        FULL
    }

    /**
     * Whose work it is.
     *
     * @param attempt the attempt
     * @param instance the entry instance that asked
     * @param incarnation the run of that instance
     */
    record Holder(String attempt, String instance, long incarnation) {}

    /**
     * KV cache that waits to be fetched.
     *
     * @param holder whose it is
     * @param tokens its tokens
     * @param computed how many of them were computed for it
     * @param until when it is evicted
     */
    record PrefillResult(Holder holder, int tokens, int computed, Duration until) {}

    private static final class Slot {
        private final Holder holder;
        private final int pieces;
        private final Duration since;
        private final Duration ttl;
        private Stage stage = Stage.RESERVED;
        private Duration until;
        private int unusedPrefill;

        private Slot(Holder holder, int pieces, Duration since, Duration ttl) {
            this.holder = holder;
            this.pieces = pieces;
            this.since = since;
            this.ttl = ttl;
            this.until = since.plus(ttl);
        }
    }

    private final EngineSizes sizes;
    private final WorkCounters record;
    private final Map<String, Slot> slots = new LinkedHashMap<>();
    private final Map<String, PrefillResult> results = new LinkedHashMap<>();

    HeldAttempts(EngineSizes sizes, WorkCounters record) {
        this.sizes = sizes;
        this.record = record;
    }

    /** Holds a slot and memory, evicting prefill results that stand in the way; idempotent. */
    Room reserve(Holder holder, int tokens, Duration ttl, Duration now) {
        expire(now);
        int pieces = sizes.piecesFor(tokens);
        if (slots.containsKey(holder.attempt())) {
            return Room.HELD;
        }
        if (slots.size() >= sizes.slots() || slotPieces() + pieces > sizes.pieces()) {
            return Room.FULL;
        }
        slots.put(holder.attempt(), new Slot(holder, pieces, now, ttl));
        evictUntilFits();
        return Room.HELD;
    }

    /** Moves an attempt to a later stage; false if it holds no slot. */
    boolean advance(String attempt, Stage stage, Duration now) {
        expire(now);
        Slot slot = slots.get(attempt);
        if (slot == null) {
            return false;
        }
        slot.stage = stage;
        slot.until = now.plus(slot.ttl);
        return true;
    }

    /** Returns the stage of an attempt, or null if it holds no slot. */
    Stage stage(String attempt) {
        Slot slot = slots.get(attempt);
        return slot == null ? null : slot.stage;
    }

    /** Notes prefill work that is wasted unless {@link #markPrefillUsed} follows; wasted at once if no slot is held. */
    void addUnusedPrefill(String attempt, int computed) {
        Slot slot = slots.get(attempt);
        if (slot == null) {
            record.addWastedPrefillTokens(computed);
        } else {
            slot.unusedPrefill += computed;
        }
    }

    /** Notes that a token was generated from what the attempt holds. */
    void markPrefillUsed(String attempt) {
        slots.get(attempt).unusedPrefill = 0;
    }

    /** Keeps a prefill result for a short time. */
    void store(PrefillResult result, Duration now) {
        expire(now);
        PrefillResult replaced = results.put(result.holder().attempt(), result);
        if (replaced != null) {
            record.addWastedPrefillTokens(replaced.computed());
        }
        evictUntilFits();
    }

    /** Gives a prefill result away; null if it is not held. */
    PrefillResult export(String handle, Duration now) {
        expire(now);
        return results.remove(handle);
    }

    /** Releases everything held for an attempt; tells whether anything was. */
    boolean release(String attempt, Duration now) {
        expire(now);
        Slot slot = slots.remove(attempt);
        if (slot != null) {
            freed(slot, now);
        }
        PrefillResult result = results.remove(attempt);
        if (result != null) {
            record.addWastedPrefillTokens(result.computed());
        }
        return slot != null || result != null;
    }

    /** Lists what is held for requests of {@code instance}. */
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

    /** Returns how long the slots that are held now have been held, added up. */
    Duration heldTime(Duration now) {
        return slots.values().stream().map(slot -> now.minus(slot.since)).reduce(Duration.ZERO, Duration::plus);
    }

    /** Releases everything. */
    void clear(Duration now) {
        List.copyOf(slots.keySet()).forEach(attempt -> release(attempt, now));
        List.copyOf(results.keySet()).forEach(attempt -> release(attempt, now));
    }

    /** Frees what was kept too long without use. */
    void expire(Duration now) {
        for (Iterator<Slot> all = slots.values().iterator(); all.hasNext(); ) {
            Slot slot = all.next();
            if (slot.stage.expires() && slot.until.compareTo(now) < 0) {
                all.remove();
                freed(slot, now);
            }
        }
        results.values().removeIf(result -> {
            boolean late = result.until().compareTo(now) < 0;
            if (late) {
                record.addWastedPrefillTokens(result.computed());
            }
            return late;
        });
    }

    private void freed(Slot slot, Duration now) {
        record.addWastedPrefillTokens(slot.unusedPrefill);
        record.addSlotTime(now.minus(slot.since));
    }

    private int slotPieces() {
        return slots.values().stream().mapToInt(slot -> slot.pieces).sum();
    }

    private int resultPieces() {
        return results.values().stream()
                .mapToInt(result -> sizes.piecesFor(result.tokens()))
                .sum();
    }

    private void evictUntilFits() {
        Iterator<PrefillResult> oldest = results.values().iterator();
        while (piecesUsed() > sizes.pieces() && oldest.hasNext()) {
            record.addWastedPrefillTokens(oldest.next().computed());
            oldest.remove();
        }
    }
}
