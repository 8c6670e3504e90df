package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineMessages;

/** The slots, memory and prefill results that an engine holds; safe for use by several threads. */
final class HeldAttempts {

    /** What happens with an attempt. */
    enum Stage {
        RESERVED,
        IMPORTED,
        DECODING
    }

    private record Slot(String attempt, String instance, long incarnation, Stage stage, int pieces, Duration until) {}

    private record PrefillResult(String attempt, String instance, long incarnation, int tokens, Duration until) {}

    private final EngineProfile profile;
    private final Clock clock;
    private final Map<String, Slot> slots = new LinkedHashMap<>();
    private final Map<String, PrefillResult> results = new LinkedHashMap<>();
    private long wastedPrefillTokens;

    HeldAttempts(EngineProfile profile, Clock clock) {
        this.profile = profile;
        this.clock = clock;
    }

    /** Holds a slot and memory; false if there is no room. */
    synchronized boolean reserve(EngineMessages.ReserveRequest request) {
        expire();
        int pieces = profile.piecesFor(request.tokens());
        if (slots.containsKey(request.attempt())) {
            return true;
        }
        if (slots.size() >= profile.slots() || piecesUsed() + pieces > profile.pieces()) {
            return false;
        }
        Duration until = clock.elapsed().plusMillis(request.ttlMillis());
        slots.put(
                request.attempt(),
                new Slot(request.attempt(), request.instance(), request.incarnation(), Stage.RESERVED, pieces, until));
        return true;
    }

    /** Moves an attempt to a later stage; false if it holds no slot. */
    synchronized boolean advance(String attempt, Stage stage) {
        expire();
        Slot slot = slots.get(attempt);
        if (slot == null) {
            return false;
        }
        Duration until = stage == Stage.DECODING ? null : slot.until();
        slots.put(attempt, new Slot(attempt, slot.instance(), slot.incarnation(), stage, slot.pieces(), until));
        return true;
    }

    /** Tells whether an attempt still holds its slot. */
    synchronized boolean holds(String attempt) {
        return slots.containsKey(attempt);
    }

    /** Keeps a prefill result for a short time. */
    synchronized void store(EngineMessages.PrefillRequest request, int tokens) {
        expire();
        Duration until = clock.elapsed().plus(profile.prefillResultTtl());
        results.put(
                request.attempt(),
                new PrefillResult(request.attempt(), request.instance(), request.incarnation(), tokens, until));
    }

    /** Gives a prefill result away; returns its tokens, or -1 if it is not held. */
    synchronized int export(String handle) {
        expire();
        PrefillResult result = results.remove(handle);
        return result == null ? -1 : result.tokens();
    }

    /** Releases everything held for an attempt; tells whether anything was. */
    synchronized boolean release(String attempt) {
        expire();
        boolean released = slots.remove(attempt) != null;
        PrefillResult result = results.remove(attempt);
        if (result != null) {
            wastedPrefillTokens += result.tokens();
        }
        return released || result != null;
    }

    /** Lists what is held for requests of {@code instance}. */
    synchronized List<EngineMessages.Held> list(String instance) {
        expire();
        List<EngineMessages.Held> held = new ArrayList<>();
        slots.values().stream()
                .filter(slot -> slot.instance().equals(instance))
                .forEach(slot -> held.add(new EngineMessages.Held(
                        slot.attempt(),
                        slot.instance(),
                        slot.incarnation(),
                        slot.stage().name().toLowerCase(java.util.Locale.ROOT),
                        slot.pieces())));
        results.values().stream()
                .filter(result -> result.instance().equals(instance))
                .forEach(result -> held.add(new EngineMessages.Held(
                        result.attempt(),
                        result.instance(),
                        result.incarnation(),
                        "prefilled",
                        profile.piecesFor(result.tokens()))));
        return held;
    }

    synchronized List<String> attempts() {
        expire();
        return List.copyOf(slots.keySet());
    }

    synchronized int slotsUsed() {
        expire();
        return slots.size();
    }

    synchronized int piecesUsed() {
        return slots.values().stream().mapToInt(Slot::pieces).sum();
    }

    synchronized long wastedPrefillTokens() {
        expire();
        return wastedPrefillTokens;
    }

    private void expire() {
        Duration now = clock.elapsed();
        slots.values().removeIf(slot -> slot.until() != null && slot.until().compareTo(now) < 0);
        results.values().removeIf(result -> {
            boolean late = result.until().compareTo(now) < 0;
            if (late) {
                wastedPrefillTokens += result.tokens();
            }
            return late;
        });
    }
}
