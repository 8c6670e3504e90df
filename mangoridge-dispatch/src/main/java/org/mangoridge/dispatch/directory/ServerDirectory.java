package org.mangoridge.dispatch.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;

/**
 * The known servers; a state machine without I/O, confined to one thread.
 *
 * <p>An entry can disappear from the store because its server left, or because it expired during an outage of the store.
 * When the store is reachable again, entries that disappear within {@link #RELISTING_GRACE} are kept until the end of
 * that time; at any other time, a server whose entry disappears is removed at once. An instance notices late that the
 * store is back, or that its own path to it works again, so that time is limited by the last evidence to the contrary.
 * An interruption in which no entry of a live server can have expired is no such outage. However many outages follow, a
 * server is not used past the drain notice, counted from when its entry was found missing.
 *
 * <p>A store that was restored from a copy lists entries as they were before: servers that drain as ready, and servers
 * that have left. Such entries change nothing; a run of a server that drains or has left is not used again unless it
 * writes a newer entry.
 *
 * <p>A run that has said in an answer that it leaves is leaving, whatever its entry says.
 */
public final class ServerDirectory {

    /** Time for live servers to be listed again after an outage of the store; the platform guarantees 2 s. */
    public static final Duration RELISTING_GRACE = Duration.ofMillis(1900);

    /** How long a server that left is remembered; a store is restored from a copy that is some seconds old. */
    static final Duration DEPARTED_RETENTION = Duration.ofMinutes(5);

    /** Time for an expired server to be removed, and for requests on their way to it to arrive. */
    private static final Duration REMOVAL_MARGIN = Duration.ofMillis(250);

    private final DirectoryTiming timing;
    private final Map<ServerId, ServerEntry> entries = new HashMap<>();
    private final Map<ServerId, Missing> missing = new HashMap<>();
    /** The last entries of servers that left, for {@link #DEPARTED_RETENTION}; the oldest first. */
    private final Map<ServerId, Departed> departed = new LinkedHashMap<>();

    private final LeavingRuns leavingRuns = new LeavingRuns(DEPARTED_RETENTION);
    private final Map<ServiceId, List<ServerEntry>> usableByService = new HashMap<>();
    private Duration relistingUntil = Duration.ZERO;
    /** The latest time at which the store certainly could not be reached; null if it is reachable. */
    private Duration unreachableAsOf;
    /** When the store answered last; null if it has not. */
    private Duration answeredAt;

    private boolean loaded;

    private record Departed(ServerEntry last, Duration until) {}

    /**
     * A server that is kept though its entry is missing.
     *
     * @param until when it is removed, unless the store is out of reach then
     * @param latest when it is removed in any case
     * @param beforeRestore whether the store was restored from a copy since its entry was found missing
     */
    private record Missing(Duration until, Duration latest, boolean beforeRestore) {

        Missing keptUntil(Duration newUntil) {
            return new Missing(min(newUntil, latest), latest, beforeRestore);
        }
    }

    private ServerDirectory(DirectoryTiming timing) {
        this.timing = timing;
    }

    /** Creates an empty directory. */
    public static ServerDirectory create(DirectoryTiming timing) {
        return new ServerDirectory(timing);
    }

    /**
     * Returns how long the return of the store may go unnoticed such that live servers still have
     * {@link #RELISTING_GRACE} to be listed again; negative if there is no such time.
     *
     * @param catchUpTime as in {@link DirectoryTiming}
     */
    public static Duration longestUnnoticedReturn(Duration catchUpTime) {
        return catchUpTime.minus(REMOVAL_MARGIN).minus(RELISTING_GRACE);
    }

    /** Records that the store could not be reached, certainly until {@code asOf}. */
    public void storeUnreachable(Duration asOf) {
        unreachableAsOf = asOf;
    }

    /** Records that the store answered. */
    public void storeReachable(Duration now) {
        if (unreachableAsOf != null) {
            if (entriesMayHaveExpired(now)) {
                startRelisting(now);
            }
            unreachableAsOf = null;
        }
        answeredAt = now;
    }

    private boolean entriesMayHaveExpired(Duration now) {
        return answeredAt == null || now.minus(answeredAt).compareTo(timing.shortestExpiringOutage()) >= 0;
    }

    private void startRelisting(Duration now) {
        relistingUntil = now.plus(RELISTING_GRACE);
        if (unreachableAsOf != null) {
            relistingUntil = min(
                    relistingUntil, unreachableAsOf.plus(timing.catchUpTime()).minus(REMOVAL_MARGIN));
        }
        // A live server whose entry expired in an earlier outage could not write it again during this one.
        missing.replaceAll((id, each) -> each.keptUntil(relistingUntil));
    }

    private static Duration min(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    /** Records that the store was restored from a copy; live servers whose entries it lost write them again. */
    public void storeRestored(Duration now) {
        startRelisting(now);
        missing.replaceAll((id, each) -> new Missing(each.until(), each.latest(), true));
    }

    /** Returns whether an entry that disappears now may be one that its server is about to write again. */
    public boolean isRelisting(Duration now) {
        return now.compareTo(relistingUntil) < 0;
    }

    /** Replaces all entries by the listed ones; returns the servers that are no longer usable. */
    public List<ServerEntry> replaceAll(Collection<ServerEntry> listed, Duration now) {
        loaded = true;
        Set<ServerId> present = new HashSet<>();
        List<ServerEntry> gone = new ArrayList<>();
        for (ServerEntry entry : listed) {
            present.add(entry.id());
            put(entry).ifPresent(gone::add);
        }
        for (ServerId id : List.copyOf(entries.keySet())) {
            if (!present.contains(id)) {
                remove(id, now).ifPresent(gone::add);
            }
        }
        return gone;
    }

    /** Tells whether the list of servers has been loaded. */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Adds or replaces an entry; returns the server if it is no longer usable.
     *
     * <p>An entry that was written before the known one is ignored, and a run that drains does not become usable again.
     */
    public Optional<ServerEntry> put(ServerEntry written) {
        ServerEntry entry = leavingRuns.contains(ServerRun.of(written)) ? written.withLeaving() : written;
        ServerEntry before = entries.get(entry.id());
        if (before == null && isDeparted(entry)) {
            return Optional.empty();
        }
        if (isFromCopy(entry)) {
            return Optional.empty();
        }
        missing.remove(entry.id());
        if (before != null && (entry.isOlderThan(before) || isReturnFromDraining(entry, before))) {
            return Optional.empty();
        }
        departed.remove(entry.id());
        entries.put(entry.id(), entry);
        usableByService.clear();
        boolean ceased = before != null && !before.leaving() && entry.leaving();
        return ceased ? Optional.of(entry) : Optional.empty();
    }

    /**
     * Records that a run of a server has said that it leaves; returns whether that is new.
     *
     * @param age how long ago it said so
     */
    public boolean announceLeaving(ServerRun run, Duration age, Duration now) {
        ServerEntry entry = entries.get(run.server());
        boolean listed = entry != null && entry.startedMillis() == run.startedMillis();
        if (!listed && age.compareTo(DEPARTED_RETENTION) > 0 || !leavingRuns.add(run, now.minus(age))) {
            return false;
        }
        if (listed) {
            entries.put(run.server(), entry.withLeaving());
            usableByService.clear();
        }
        return true;
    }

    /** Returns the runs that have said that they leave, the last learnt first. */
    public List<LeavingRun> leavingRuns(Duration now) {
        return leavingRuns.all(now);
    }

    private boolean isDeparted(ServerEntry entry) {
        Departed known = departed.get(entry.id());
        return known != null && entry.isNotNewerThan(known.last());
    }

    /** Tells whether a restored store lists what an entry had said before it was found missing. */
    private boolean isFromCopy(ServerEntry entry) {
        Missing known = missing.get(entry.id());
        return known != null
                && known.beforeRestore()
                && entry.sequence() != ServerEntry.UNKNOWN_SEQUENCE
                && entry.isNotNewerThan(entries.get(entry.id()));
    }

    private static boolean isReturnFromDraining(ServerEntry entry, ServerEntry before) {
        return before.leaving() && !entry.leaving() && entry.startedMillis() == before.startedMillis();
    }

    /** Handles the removal of an entry from the store; returns the server if it is removed now. */
    public Optional<ServerEntry> remove(ServerId id, Duration now) {
        ServerEntry entry = entries.get(id);
        if (entry == null) {
            return Optional.empty();
        }
        if (isRelisting(now) && !entry.leaving()) {
            Duration latest = now.plus(timing.drainNotice()).minus(REMOVAL_MARGIN);
            missing.computeIfAbsent(id, any -> new Missing(latest, latest, false).keptUntil(relistingUntil));
            return Optional.empty();
        }
        return depart(id, now);
    }

    private Optional<ServerEntry> depart(ServerId id, Duration now) {
        Optional<ServerEntry> last = drop(id);
        last.ifPresent(entry -> departed.put(id, new Departed(entry, now.plus(DEPARTED_RETENTION))));
        return last;
    }

    /** Removes a server that is known to be gone, such as one whose address another server uses now. */
    public Optional<ServerEntry> drop(ServerId id) {
        missing.remove(id);
        usableByService.clear();
        return Optional.ofNullable(entries.remove(id));
    }

    /** Removes and returns the servers whose entries disappeared and were not listed again in time. */
    public List<ServerEntry> expire(Duration now) {
        departed.values().removeIf(each -> now.compareTo(each.until()) >= 0);
        if (!leavingRuns.isEmpty()) {
            leavingRuns.expire(entries.values().stream().map(ServerRun::of).collect(Collectors.toSet()), now);
        }
        List<ServerEntry> gone = new ArrayList<>();
        for (ServerId id : List.copyOf(missing.keySet())) {
            Missing each = missing.get(id);
            Duration end = unreachableAsOf == null ? each.until() : each.latest();
            if (now.compareTo(end) >= 0) {
                depart(id, now).ifPresent(gone::add);
            }
        }
        return gone;
    }

    /** Returns the servers of a service that accept new requests, ordered by id. */
    public List<ServerEntry> usable(ServiceId service) {
        return usableByService.computeIfAbsent(service, this::select);
    }

    /** Returns the entry of a server, which may be leaving. */
    public Optional<ServerEntry> find(ServerId id) {
        return Optional.ofNullable(entries.get(id));
    }

    /** Returns until when a server is kept though its entry is missing from the store; empty if it is not missing. */
    public Optional<Duration> keptUntil(ServerId id) {
        return Optional.ofNullable(missing.get(id)).map(Missing::until);
    }

    /** Returns all entries, including those of leaving servers. */
    public Collection<ServerEntry> all() {
        return List.copyOf(entries.values());
    }

    private List<ServerEntry> select(ServiceId service) {
        return entries.values().stream()
                .filter(entry -> entry.service().equals(service) && !entry.leaving())
                .sorted(java.util.Comparator.comparing(ServerEntry::id))
                .toList();
    }
}
