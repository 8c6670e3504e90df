package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.mangoridge.core.prefix.PrefixHashes;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.standin.engine.HeldAttempts.Holder;
import org.mangoridge.standin.engine.HeldAttempts.PrefillResult;
import org.mangoridge.standin.engine.HeldAttempts.Stage;

/**
 * Simulates a model engine: its slots and memory, its prefill queue, KV cache transfers and token rate.
 *
 * <p>Each call is given the current time, which must not decrease. Not thread-safe; see {@link EngineMonitor}.
 */
final class EngineCore {

    private static final int MAX_CANCELLED_ATTEMPTS = 20_000;
    private static final String INSTANCE_SEPARATOR = "-";

    /** The outcome of a reservation request. */
    enum ReservationOutcome {
        RESERVED,
        FULL,
        CANCELLED,
        BUSY
    }

    /** A prefill that is queued or running. */
    static final class Prefill {
        private final Holder holder;
        private final List<Long> prefixes;
        private SerialWorker.Job job;
        private int cached;

        private Prefill(Holder holder, List<Long> prefixes) {
            this.holder = holder;
            this.prefixes = prefixes;
        }

        SerialWorker.Job job() {
            return job;
        }

        int cachedTokens() {
            return cached;
        }

        private int uncachedTokens() {
            return job.tokens() - cached;
        }
    }

    private final EngineProfile profile;
    private final WorkCounters counters = new WorkCounters();
    private final HeldAttempts held;
    private final PrefixCache cache;
    private final LoadHistory loadHistory;
    private final EngineOrders orders;
    private final SerialWorker prefillWorker = new SerialWorker();
    private final SerialWorker link = new SerialWorker();
    private final Map<String, Prefill> prefills = new HashMap<>();
    private final Map<String, SerialWorker.Job> transfers = new HashMap<>();
    private final Set<String> cancelled = new LinkedHashSet<>();
    private final Map<String, Duration> disconnectedUntil = new HashMap<>();
    private EngineFaults faults = EngineFaults.none();

    EngineCore(EngineProfile profile) {
        this.profile = profile;
        this.held = new HeldAttempts(profile.sizes(), counters);
        this.cache = new PrefixCache(profile.sizes().cacheBlocks());
        this.loadHistory = new LoadHistory(profile.rates().loadReportLag());
        this.orders = new EngineOrders(profile);
    }

    EngineOrders orders() {
        return orders;
    }

    EngineFaults faults() {
        return faults;
    }

    /** Replaces the injected faults. */
    void faults(EngineFaults newFaults, Duration now) {
        advance(now);
        if (newFaults.dead() && !faults.dead()) {
            loseState(now);
        }
        faults = newFaults;
        prefillWorker.pause(faults.stalled(), now);
        link.pause(faults.linkStalled(), now);
    }

    /** Treats an entry instance as dead until {@code until}: its calls are dropped and its streams aborted. */
    void disconnect(String instance, Duration until) {
        disconnectedUntil.put(instance, until);
    }

    /** Returns whether an attempt belongs to an instance that is treated as dead. */
    boolean isDisconnected(String attempt, Duration now) {
        disconnectedUntil.values().removeIf(until -> until.compareTo(now) < 0);
        return disconnectedUntil.keySet().stream()
                .anyMatch(instance -> attempt.startsWith(instance + INSTANCE_SEPARATOR));
    }

    /** Advances the simulation to {@code now}: completes work and expires reservations. */
    void advance(Duration now) {
        prefillWorker.advance(now);
        link.advance(now);
        finishPrefills(now);
        transfers.values().removeIf(SerialWorker.Job::isFinished);
        orders.advance(now);
        held.expire(now);
    }

    ReservationOutcome reserve(EngineMessages.ReserveRequest request, Duration now) {
        advance(now);
        if (cancelled.contains(request.attempt())) {
            return ReservationOutcome.CANCELLED;
        }
        if (orders.state(now).busy()) {
            return ReservationOutcome.BUSY;
        }
        Holder holder = new Holder(request.attempt(), request.instance(), request.incarnation());
        Duration ttl = Duration.ofMillis(request.ttlMillis());
        return held.reserve(holder, request.tokens(), ttl, now) == HeldAttempts.Allocation.ALLOCATED
                ? ReservationOutcome.RESERVED
                : ReservationOutcome.FULL;
    }

    /** Queues the prefill of a prompt, or returns the existing one; empty if the attempt was cancelled. */
    Optional<Prefill> prefill(Holder holder, String prompt, int priority, Duration now) {
        advance(now);
        if (cancelled.contains(holder.attempt())) {
            return Optional.empty();
        }
        Prefill existing = prefills.get(holder.attempt());
        if (existing != null) {
            return Optional.of(existing);
        }
        Prefill prefill = new Prefill(holder, PrefixHashes.of(prompt));
        prefill.job = prefillWorker.submit(
                holder.attempt(),
                PrefixHashes.estimateTokens(prompt),
                priority,
                job -> startPrefill(prefill, job),
                now);
        prefills.put(holder.attempt(), prefill);
        return Optional.of(prefill);
    }

    /** Queues the prefill of an attempt that decodes without an imported KV cache; empty if none is needed. */
    Optional<Prefill> prefillBeforeDecode(EngineMessages.DecodeRequest request, Duration now) {
        if (held.stage(request.attempt()) != Stage.RESERVED) {
            return Optional.empty();
        }
        held.advance(request.attempt(), Stage.PREFILL, now);
        Holder holder = new Holder(request.attempt(), request.instance(), request.incarnation());
        String generated = request.generated() == null ? "" : request.generated();
        return prefill(holder, request.prompt() + generated, request.priority(), now);
    }

    /** Removes and returns a prefill result; null if it is not held. */
    PrefillResult export(String handle, Duration now) {
        advance(now);
        return held.export(handle, now);
    }

    /** Marks an attempt as importing KV cache; false if it holds no slot. */
    boolean beginImport(String attempt, Duration now) {
        advance(now);
        return held.advance(attempt, Stage.IMPORTING, now);
    }

    /** Queues the transfer of KV cache that another engine exported; empty if the attempt is no longer importing. */
    Optional<SerialWorker.Job> transfer(String attempt, int tokens, int computed, Duration now) {
        advance(now);
        held.addUnusedPrefill(attempt, computed);
        if (held.stage(attempt) != Stage.IMPORTING) {
            return Optional.empty();
        }
        Duration cost = EngineRates.scaled(profile.rates().transferTime(tokens), faults.slowFactor());
        SerialWorker.Job job = link.submit(attempt, tokens, 0, started -> cost, now);
        transfers.put(attempt, job);
        return Optional.of(job);
    }

    /** Ends an import; false if the attempt no longer holds a slot. */
    boolean endImport(String attempt, boolean complete, Duration now) {
        advance(now);
        return held.advance(attempt, complete ? Stage.IMPORTED : Stage.RESERVED, now);
    }

    /** Adds an attempt to the decode batch; false if it holds no slot. */
    boolean beginDecode(String attempt, Duration now) {
        advance(now);
        return held.advance(attempt, Stage.DECODING, now);
    }

    /** Returns the interval between tokens of a stream at the current batch size and prefill activity. */
    Duration tokenInterval(Duration now) {
        advance(now);
        Duration interval = profile.rates().tokenInterval(Math.max(1, held.decoding()), prefillWorker.isBusy());
        return EngineRates.scaled(interval, faults.slowFactor());
    }

    /** Generates a token; false if the attempt is not decoding. */
    boolean generateToken(String attempt) {
        if (held.stage(attempt) != Stage.DECODING) {
            return false;
        }
        counters.recordRun(attempt);
        counters.addDecodedToken();
        held.markPrefillUsed(attempt);
        return true;
    }

    /** Returns whether an attempt holds a slot. */
    boolean holds(String attempt) {
        return held.stage(attempt) != null;
    }

    /** Releases everything held for an attempt, at any stage, and refuses its later requests. */
    boolean cancel(String attempt, Duration now) {
        cancelled.add(attempt);
        if (cancelled.size() > MAX_CANCELLED_ATTEMPTS) {
            Iterator<String> oldest = cancelled.iterator();
            oldest.next();
            oldest.remove();
        }
        return release(attempt, now);
    }

    /** Releases everything held for an attempt, at any stage. */
    boolean release(String attempt, Duration now) {
        advance(now);
        boolean working = false;
        Prefill prefill = prefills.remove(attempt);
        if (prefill != null) {
            working = true;
            if (prefill.job.state() == SerialWorker.State.RUNNING) {
                int done = (int) Math.round(prefill.uncachedTokens() * prefill.job.progress(now));
                counters.addPrefillTokens(done);
                counters.addWastedPrefillTokens(done);
            }
            prefillWorker.cancel(prefill.job, now);
        }
        SerialWorker.Job transfer = transfers.remove(attempt);
        if (transfer != null) {
            link.cancel(transfer, now);
        }
        return held.release(attempt, now) || working;
    }

    /** Returns the time at which the next prefill or transfer completes; empty if none is in progress. */
    Optional<Duration> nextCompletion() {
        return Stream.of(prefillWorker.nextCompletion(), link.nextCompletion())
                .flatMap(Optional::stream)
                .min(Duration::compareTo);
    }

    List<EngineMessages.HeldAttempt> held(String instance, Duration now) {
        advance(now);
        List<EngineMessages.HeldAttempt> all = new ArrayList<>(held.list(instance, now));
        prefills.values().stream()
                .filter(prefill -> prefill.holder.instance().equals(instance))
                .filter(prefill -> held.stage(prefill.holder.attempt()) == null)
                .forEach(prefill -> all.add(HeldAttempts.held(
                        prefill.holder, "prefill", profile.sizes().piecesFor(prefill.job.tokens()))));
        return all;
    }

    List<EngineMessages.CacheEvent> cacheEvents(long after, Duration now) {
        advance(now);
        int lossInterval = faults.cacheEventGap() > 0
                ? faults.cacheEventGap()
                : profile.rates().cacheEventGap();
        return cache.eventsAfter(after, now.minus(profile.rates().cacheEventLag()), lossInterval);
    }

    EngineMessages.LoadReport load(Duration now) {
        advance(now);
        LoadHistory.Sample sample = loadHistory.addAndDelay(new LoadHistory.Sample(
                held.slotsUsed(), held.piecesUsed(), prefillWorker.queuedTokens(now), held.attempts(), now));
        EngineMessages.EngineState state = orders.state(now);
        EngineSizes sizes = profile.sizes();
        EngineRates rates = profile.rates();
        return new EngineMessages.LoadReport(
                state.role(),
                state.model(),
                state.version(),
                sizes.slots(),
                sample.slotsUsed(),
                sizes.pieces(),
                sample.piecesUsed(),
                sizes.pieceTokens(),
                sample.prefillQueueTokens(),
                rates.prefillTokensPerSecond(),
                rates.linkBytesPerSecond(),
                rates.kvBytesPerToken(),
                now.minus(sample.takenAt()).toMillis(),
                sample.attempts());
    }

    EngineCounts counts(Duration now) {
        advance(now);
        return counters.counts(held.heldTime(now));
    }

    boolean hasRun(String request) {
        return counters.hasRun(request);
    }

    int slotsUsed(Duration now) {
        advance(now);
        return held.slotsUsed();
    }

    private Duration startPrefill(Prefill prefill, SerialWorker.Job job) {
        prefill.job = job;
        prefill.cached = Math.min(job.tokens() - 1, cache.cachedTokens(prefill.prefixes));
        counters.recordRun(job.attempt());
        return EngineRates.scaled(profile.rates().prefillTime(prefill.uncachedTokens()), faults.slowFactor());
    }

    private void finishPrefills(Duration now) {
        List<Prefill> done = prefills.values().stream()
                .filter(prefill -> prefill.job.isFinished())
                .toList();
        for (Prefill prefill : done) {
            prefills.remove(prefill.holder.attempt());
            if (prefill.job.state() == SerialWorker.State.DONE) {
                finish(prefill, now);
            }
        }
    }

    private void finish(Prefill prefill, Duration now) {
        String attempt = prefill.holder.attempt();
        counters.addPrefillTokens(prefill.uncachedTokens());
        cache.store(prefill.prefixes, now);
        if (held.stage(attempt) == Stage.PREFILL) {
            held.addUnusedPrefill(attempt, prefill.uncachedTokens());
            return;
        }
        Duration until = now.plus(profile.rates().prefillResultTtl());
        held.store(new PrefillResult(prefill.holder, prefill.job.tokens(), prefill.uncachedTokens(), until), now);
    }

    private void loseState(Duration now) {
        List.copyOf(prefills.keySet()).forEach(attempt -> release(attempt, now));
        List.copyOf(transfers.keySet()).forEach(attempt -> release(attempt, now));
        held.clear(now);
        cache.clear();
    }
}
