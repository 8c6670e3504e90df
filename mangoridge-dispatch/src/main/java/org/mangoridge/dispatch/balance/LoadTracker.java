package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;

/**
 * Tracks the load of every server: the requests of this instance and the reports of its peers; confined to one thread.
 */
public final class LoadTracker {

    /**
     * How long the last report of a peer counts. When a machine loses power, its connections stay open and servers
     * go on with its requests; a stream takes some seconds.
     */
    public static final Duration PEER_LOAD_TTL = Duration.ofSeconds(6);

    /** How long a server counts as full after it rejected a request for lack of capacity. */
    public static final Duration FULL_AFTER_REJECTION = Duration.ofMillis(300);

    /** Peers up to which each placement reaches all of them before they are likely to make many others. */
    private static final int MAX_PEERS_IN_TOUCH = 7;

    private final Map<ServerId, ServerLoad> own = new HashMap<>();
    /** The sums over all instances, updated incrementally since reads are far more frequent than changes. */
    private final Map<ServerId, ServerLoad> totals = new HashMap<>();

    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();
    private final PlacementRates placementRates = PlacementRates.create();

    private final Map<ServerId, Duration> fullUntil = new HashMap<>();
    private Consumer<Urgency> ownChange = urgency -> {};

    /** How soon peers need a report of a change. */
    public enum Urgency {
        /** Capacity was taken that a peer could assign to another request. */
        IMMEDIATE,
        /** Capacity was freed that a peer could use. */
        SOON,
        /** The next regular report is soon enough. */
        WITH_NEXT_REPORT
    }

    private record PeerLoad(Map<ServerId, ServerLoad> loads, Duration received) {}

    private LoadTracker() {}

    /** Creates a tracker without load. */
    public static LoadTracker create() {
        return new LoadTracker();
    }

    /** Sets the listener for changes of this instance's own load; replaces the one before. */
    public void onOwnChange(Consumer<Urgency> listener) {
        ownChange = listener;
    }

    /** Adds load of this instance on a server. */
    public void add(ServerId server, ServerLoad load) {
        own.merge(server, load, ServerLoad::plus);
        addToTotal(server, load);
        boolean takesCapacity = load.requests() > 0 && load.kvTokens() > 0;
        ownChange.accept(takesCapacity ? Urgency.IMMEDIATE : Urgency.WITH_NEXT_REPORT);
    }

    /** Removes load that was added before. */
    public void subtract(ServerId server, ServerLoad load) {
        ServerLoad left = own.getOrDefault(server, ServerLoad.NONE).minus(load);
        if (left.equals(ServerLoad.NONE)) {
            own.remove(server);
        } else {
            own.put(server, left);
        }
        subtractFromTotal(server, load);
        boolean freesCapacity = load.kvTokens() > 0;
        ownChange.accept(freesCapacity ? Urgency.SOON : Urgency.WITH_NEXT_REPORT);
    }

    /** Replaces load that was added before, such as when its KV cache has grown. */
    public void replace(ServerId server, ServerLoad before, ServerLoad after) {
        own.merge(server, after, ServerLoad::plus);
        own.computeIfPresent(server, (id, sum) -> sum.minus(before));
        addToTotal(server, after);
        subtractFromTotal(server, before);
        ownChange.accept(Urgency.WITH_NEXT_REPORT);
    }

    private void addToTotal(ServerId server, ServerLoad load) {
        totals.merge(server, load, ServerLoad::plus);
    }

    private void subtractFromTotal(ServerId server, ServerLoad load) {
        ServerLoad left = totals.getOrDefault(server, ServerLoad.NONE).minus(load);
        if (left.equals(ServerLoad.NONE)) {
            totals.remove(server);
        } else {
            totals.put(server, left);
        }
    }

    /** Replaces the loads that a peer reported. */
    public void replacePeerLoads(InstanceId peer, Map<ServerId, ServerLoad> loads, Duration now) {
        loads.forEach(this::addToTotal);
        PeerLoad before = peers.put(peer, new PeerLoad(Map.copyOf(loads), now));
        if (before != null) {
            placementRates.record(before.loads(), loads, now.minus(before.received()), now);
            before.loads().forEach(this::subtractFromTotal);
        }
    }

    /** Removes the peers whose last report is older than {@link #PEER_LOAD_TTL}. */
    public void expire(Duration now) {
        peers.values().removeIf(peer -> {
            boolean stale = now.minus(peer.received()).compareTo(PEER_LOAD_TTL) > 0;
            if (stale) {
                peer.loads().forEach(this::subtractFromTotal);
            }
            return stale;
        });
        placementRates.expire(now);
    }

    /** Returns the load of all instances on a server. */
    public ServerLoad total(ServerId server) {
        return totals.getOrDefault(server, ServerLoad.NONE);
    }

    /** Returns the load of this instance on a server. */
    public ServerLoad own(ServerId server) {
        return own.getOrDefault(server, ServerLoad.NONE);
    }

    /** Returns the loads of this instance on all servers, for reports to its peers. */
    public Map<ServerId, ServerLoad> ownLoads() {
        return Map.copyOf(own);
    }

    /** Records that a server rejected a request for lack of capacity. */
    public void recordRejection(ServerId server, Duration now) {
        markFull(server, now.plus(FULL_AFTER_REJECTION));
    }

    /** Marks a server as full until {@code until}; an earlier time does not shorten a later one. */
    public void markFull(ServerId server, Duration until) {
        fullUntil.merge(server, until, (known, other) -> known.compareTo(other) >= 0 ? known : other);
    }

    /** Tells whether a server is marked as full. */
    public boolean isFull(ServerId server, Duration now) {
        Duration until = fullUntil.get(server);
        if (until != null && now.compareTo(until) >= 0) {
            fullUntil.remove(server);
            return false;
        }
        return until != null;
    }

    /**
     * Returns how many requests peers are expected to have placed on a server since their last reports; zero in a fleet so
     * small that reports are never far behind.
     */
    public double unreportedRequests(ServerId server, Duration now) {
        return peers.size() <= MAX_PEERS_IN_TOUCH ? 0 : placementRates.unreported(server, now);
    }

    /** Returns how many requests peers are expected to have placed on any server since their last reports. */
    public double unreportedRequests(Duration now) {
        return peers.size() <= MAX_PEERS_IN_TOUCH ? 0 : placementRates.unreported(now);
    }

    /** Returns the age of the oldest report that counts; empty if no peer has reported. */
    public Optional<Duration> oldestReportAge(Duration now) {
        return peers.values().stream().map(peer -> now.minus(peer.received())).max(Duration::compareTo);
    }

    /** Returns the number of peers with a current report. */
    public int peerCount() {
        return peers.size();
    }
}
