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
 * What an engine decides: who holds slots and memory, who is prefilled when, how fast tokens come.
 *
 * <p>Time goes in with each call and never goes back. Used by one thread at a time.
 */
final class EngineCore {

    private static final int MAX_CANCELLED = 20_000;
    private static final String OWNER_SEPARATOR = "-";

    /** How a reservation is answered. */
    enum Reservation {
        HELD,
        FULL,
        CANCELLED,
        BUSY
    }

    /** Prefill in progress. */
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

        private int uncached() {
            return job.tokens() - cached;
        }
    }

    private final EngineProfile profile;
    private final WorkCounters record = new WorkCounters();
    private final HeldAttempts held;
    private final PrefixCache cache;
    private final LoadHistory loads;
    private final EngineOrders orders;
    private final SerialWorker prefillUnit = new SerialWorker();
    private final SerialWorker link = new SerialWorker();
    private final Map<String, Prefill> prefills = new HashMap<>();
    private final Map<String, SerialWorker.Job> transfers = new HashMap<>();
    private final Set<String> cancelled = new LinkedHashSet<>();
    private final Map<String, Duration> severed = new HashMap<>();
    private EngineFaults faults = EngineFaults.none();

    EngineCore(EngineProfile profile) {
        this.profile = profile;
        this.held = new HeldAttempts(profile.sizes(), record);
        this.cache = new PrefixCache(profile.sizes().cacheBlocks());
        this.loads = new LoadHistory(profile.rates().loadReportLag());
        this.orders = new EngineOrders(profile);
    }

    EngineOrders orders() {
        return orders;
    }

    EngineFaults faults() {
        return faults;
    }

    /** Puts faults into force in place of those before. */
    void faults(EngineFaults newFaults, Duration now) {
        advance(now);
        if (newFaults.dead() && !faults.dead()) {
            forgetEverything(now);
        }
        faults = newFaults;
        prefillUnit.pause(faults.stalled(), now);
        link.pause(faults.linkStalled(), now);
    }

    /** Takes an entry instance for dead until {@code until}: its calls are dropped and its streams end. */
    void disconnect(String instance, Duration until) {
        severed.put(instance, until);
    }

    /** Tells whether an attempt is one of an instance that is taken for dead. */
    boolean isDisconnected(String attempt, Duration now) {
        severed.values().removeIf(until -> until.compareTo(now) < 0);
        return severed.keySet().stream().anyMatch(instance -> attempt.startsWith(instance + OWNER_SEPARATOR));
    }

    /** Finishes what is done by {@code now}. */
    void advance(Duration now) {
        prefillUnit.advance(now);
        link.advance(now);
        finishPrefills(now);
        transfers.values().removeIf(SerialWorker.Job::isOver);
        orders.advance(now);
        held.expire(now);
    }

    Reservation reserve(EngineMessages.ReserveRequest request, Duration now) {
        advance(now);
        if (cancelled.contains(request.attempt())) {
            return Reservation.CANCELLED;
        }
        if (orders.state(now).busy()) {
            return Reservation.BUSY;
        }
        Holder holder = new Holder(request.attempt(), request.instance(), request.incarnation());
        Duration ttl = Duration.ofMillis(request.ttlMillis());
        return held.reserve(holder, request.tokens(), ttl, now) == HeldAttempts.Room.HELD
                ? Reservation.HELD
                : Reservation.FULL;
    }

    /** Queues the prefill of a prompt; empty if the attempt was cancelled. */
    Optional<Prefill> prefill(Holder holder, String prompt, int priority, Duration now) {
        advance(now);
        if (cancelled.contains(holder.attempt())) {
            return Optional.empty();
        }
        Prefill before = prefills.get(holder.attempt());
        if (before != null) {
            return Optional.of(before);
        }
        Prefill prefill = new Prefill(holder, PrefixHashes.of(prompt));
        prefill.job = prefillUnit.submit(
                holder.attempt(),
                PrefixHashes.estimateTokens(prompt),
                priority,
                job -> startPrefill(prefill, job),
                now);
        prefills.put(holder.attempt(), prefill);
        return Optional.of(prefill);
    }

    /** Queues the prefill of an attempt that decodes here without a transfer; empty if none is needed. */
    Optional<Prefill> prefillBeforeDecode(EngineMessages.DecodeRequest request, Duration now) {
        if (held.stage(request.attempt()) != Stage.RESERVED) {
            return Optional.empty();
        }
        held.advance(request.attempt(), Stage.PREFILL, now);
        Holder holder = new Holder(request.attempt(), request.instance(), request.incarnation());
        String generated = request.generated() == null ? "" : request.generated();
        return prefill(holder, request.prompt() + generated, request.priority(), now);
    }

    /** Gives a prefill result away; null if it is not held. */
    PrefillResult export(String handle, Duration now) {
        advance(now);
        return held.export(handle, now);
    }

    /** Begins to wait for KV cache from elsewhere; false if the attempt holds no slot. */
    boolean beginImport(String attempt, Duration now) {
        advance(now);
        return held.advance(attempt, Stage.IMPORTING, now);
    }

    /** Queues the transfer of what another engine gave away; empty if the attempt holds no slot any more. */
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

    /** Ends an import; false if the attempt holds no slot any more. */
    boolean endImport(String attempt, boolean complete, Duration now) {
        advance(now);
        return held.advance(attempt, complete ? Stage.IMPORTED : Stage.RESERVED, now);
    }

    /** Puts an attempt into the batch; false if it holds no slot. */
    boolean beginDecode(String attempt, Duration now) {
        advance(now);
        return held.advance(attempt, Stage.DECODING, now);
    }

    /** Returns the time from one token of a stream to the next as things are now. */
    Duration tokenInterval(Duration now) {
        advance(now);
        Duration interval = profile.rates().tokenInterval(Math.max(1, held.decoding()), prefillUnit.isBusy());
        return EngineRates.scaled(interval, faults.slowFactor());
    }

    /** Generates a token; false if the attempt holds no slot. */
    boolean generateToken(String attempt) {
        if (held.stage(attempt) != Stage.DECODING) {
            return false;
        }
        record.recordRun(attempt);
        record.addDecodedToken();
        held.markPrefillUsed(attempt);
        return true;
    }

    /** Tells whether an attempt still holds its slot. */
    boolean holds(String attempt) {
        return held.stage(attempt) != null;
    }

    /** Releases everything held for an attempt, at any stage; later work of the attempt is refused. */
    boolean cancel(String attempt, Duration now) {
        cancelled.add(attempt);
        if (cancelled.size() > MAX_CANCELLED) {
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
                int done = (int) Math.round(prefill.uncached() * prefill.job.share(now));
                record.addPrefillTokens(done);
                record.addWastedPrefillTokens(done);
            }
            prefillUnit.cancel(prefill.job, now);
        }
        SerialWorker.Job transfer = transfers.remove(attempt);
        if (transfer != null) {
            link.cancel(transfer, now);
        }
        return held.release(attempt, now) || working;
    }

    /** Returns when something will be done that somebody may wait for. */
    Optional<Duration> nextCompletion() {
        return Stream.of(prefillUnit.nextCompletion(), link.nextCompletion())
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
        int gap = faults.cacheEventGap() > 0
                ? faults.cacheEventGap()
                : profile.rates().cacheEventGap();
        return cache.eventsAfter(after, now.minus(profile.rates().cacheEventLag()), gap);
    }

    EngineMessages.LoadReport load(Duration now) {
        advance(now);
        LoadHistory.Look look = loads.addAndDelay(new LoadHistory.Look(
                held.slotsUsed(), held.piecesUsed(), prefillUnit.queuedTokens(now), held.attempts(), now));
        EngineMessages.EngineState state = orders.state(now);
        EngineSizes sizes = profile.sizes();
        EngineRates rates = profile.rates();
        return new EngineMessages.LoadReport(
                state.role(),
                state.model(),
                state.version(),
                sizes.slots(),
                look.slotsUsed(),
                sizes.pieces(),
                look.piecesUsed(),
                sizes.pieceTokens(),
                look.prefillQueueTokens(),
                rates.prefillTokensPerSecond(),
                rates.linkBytesPerSecond(),
                rates.kvBytesPerToken(),
                now.minus(look.taken()).toMillis(),
                look.attempts());
    }

    EngineCounts counts(Duration now) {
        advance(now);
        return record.counts(held.heldTime(now));
    }

    boolean hasRun(String request) {
        return record.hasRun(request);
    }

    int slotsUsed(Duration now) {
        advance(now);
        return held.slotsUsed();
    }

    private Duration startPrefill(Prefill prefill, SerialWorker.Job job) {
        prefill.job = job;
        prefill.cached = Math.min(job.tokens() - 1, cache.cachedTokens(prefill.prefixes));
        record.recordRun(job.attempt());
        return EngineRates.scaled(profile.rates().prefillTime(prefill.uncached()), faults.slowFactor());
    }

    private void finishPrefills(Duration now) {
        List<Prefill> done = prefills.values().stream()
                .filter(prefill -> prefill.job.isOver())
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
        record.addPrefillTokens(prefill.uncached());
        cache.store(prefill.prefixes, now);
        if (held.stage(attempt) == Stage.PREFILL) {
            held.addUnusedPrefill(attempt, prefill.uncached());
            return;
        }
        Duration until = now.plus(profile.rates().prefillResultTtl());
        held.store(new PrefillResult(prefill.holder, prefill.job.tokens(), prefill.uncached(), until), now);
    }

    private void forgetEverything(Duration now) {
        List.copyOf(prefills.keySet()).forEach(attempt -> release(attempt, now));
        List.copyOf(transfers.keySet()).forEach(attempt -> release(attempt, now));
        held.clear(now);
        cache.clear();
    }
}
