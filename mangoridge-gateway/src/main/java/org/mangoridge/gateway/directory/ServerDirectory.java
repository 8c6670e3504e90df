package org.mangoridge.gateway.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;

/**
 * The servers that may be given work, as a state machine used by one thread.
 *
 * <p>An entry can vanish from the store because its server left, or because the store could not be reached for a while.
 * While the store is recovering, a vanished entry is kept for {@link #LAPSE_GRACE}; at any other time the server is
 * gone at once.
 */
public final class ServerDirectory {

    /** How long a live server may take to be listed again after an outage of the store (platform's promise: 2 s). */
    public static final Duration LAPSE_GRACE = Duration.ofMillis(1900);

    private final Map<ServerId, ServerEntry> entries = new HashMap<>();
    private final Map<ServerId, Duration> lapsed = new HashMap<>();
    private final Map<ServiceId, List<ServerEntry>> usable = new HashMap<>();
    private Duration unsettledUntil = Duration.ZERO;
    private boolean storeReachable;
    private boolean listWasRead;

    private ServerDirectory() {}

    /** Returns a directory that knows no server. */
    public static ServerDirectory create() {
        return new ServerDirectory();
    }

    /** Takes note that the store answers or does not. */
    public void storeReachable(boolean reachable, Duration now) {
        if (reachable && !storeReachable) {
            unsettledUntil = now.plus(LAPSE_GRACE);
            lapsed.replaceAll((id, until) -> unsettledUntil);
        }
        storeReachable = reachable;
    }

    /** Takes the whole list; returns the servers that are no longer usable. */
    public List<ServerEntry> replaceAll(Collection<ServerEntry> listed, Duration now) {
        listWasRead = true;
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

    /** Tells whether the list of servers was read at all. */
    public boolean isLoaded() {
        return listWasRead;
    }

    /**
     * Takes an entry that is new or changed; returns the server if it ceased to be usable by that.
     *
     * <p>A late word of an earlier run under the same id changes nothing.
     */
    public Optional<ServerEntry> put(ServerEntry entry) {
        ServerEntry before = entries.get(entry.id());
        if (before != null && entry.startedMillis() < before.startedMillis()) {
            return Optional.empty();
        }
        lapsed.remove(entry.id());
        entries.put(entry.id(), entry);
        usable.clear();
        boolean ceased = before != null && !before.leaving() && entry.leaving();
        return ceased ? Optional.of(entry) : Optional.empty();
    }

    /** Takes the removal of an entry; returns the server if it is gone by that. */
    public Optional<ServerEntry> remove(ServerId id, Duration now) {
        ServerEntry entry = entries.get(id);
        if (entry == null) {
            return Optional.empty();
        }
        if (now.compareTo(unsettledUntil) < 0 && !entry.leaving()) {
            lapsed.putIfAbsent(id, unsettledUntil);
            return Optional.empty();
        }
        return drop(id);
    }

    /** Forgets a server that proved to be gone, such as one whose address answers for another. */
    public Optional<ServerEntry> drop(ServerId id) {
        lapsed.remove(id);
        usable.clear();
        return Optional.ofNullable(entries.remove(id));
    }

    /** Returns the servers whose entries lapsed and did not come back in time; they are gone. */
    public List<ServerEntry> expire(Duration now) {
        List<ServerEntry> gone = new ArrayList<>();
        for (Map.Entry<ServerId, Duration> each : List.copyOf(lapsed.entrySet())) {
            if (now.compareTo(each.getValue()) >= 0) {
                drop(each.getKey()).ifPresent(gone::add);
            }
        }
        return gone;
    }

    /** Returns the servers of a service that take new work. */
    public List<ServerEntry> usable(ServiceId service) {
        return usable.computeIfAbsent(service, this::select);
    }

    /** Returns the entry of a server, leaving or not. */
    public Optional<ServerEntry> find(ServerId id) {
        return Optional.ofNullable(entries.get(id));
    }

    /** Returns every entry. */
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
