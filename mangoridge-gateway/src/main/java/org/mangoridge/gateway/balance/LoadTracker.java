package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;

/**
 * The load of every server, as this instance counts its own requests and hears of its peers'; used by one thread.
 */
public final class LoadTracker {

    /**
     * How long the load of a silent peer still counts. Servers go on with the requests of a machine that lost power,
     * since nobody closes its connections; a stream takes some seconds.
     */
    public static final Duration PEER_LOAD_TTL = Duration.ofSeconds(6);

    /** How long a server that rejected a request for want of room is taken to be full. */
    public static final Duration FULL_AFTER_REJECTION = Duration.ofMillis(300);

    private final Map<ServerId, ServerLoad> own = new HashMap<>();
    /** The sums over all instances, kept up to date since they are read far more often than they change. */
    private final Map<ServerId, ServerLoad> totals = new HashMap<>();

    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();

    private final Map<ServerId, Duration> fullUntil = new HashMap<>();
    private Consumer<Urgency> ownChange = urgency -> {};

    /** How soon peers need to know of a change. */
    public enum Urgency {
        /** Room was taken that a peer could promise to another request. */
        IMMEDIATE,
        /** Room came that a peer could use. */
        SOON,
        /** The change goes along with the next report. */
        WITH_NEXT_REPORT
    }

    private record PeerLoad(Map<ServerId, ServerLoad> loads, Duration heard) {}

    private LoadTracker() {}

    /** Returns an empty book. */
    public static LoadTracker create() {
        return new LoadTracker();
    }

    /** Names what is told when the own load changed. */
    public void onOwnChange(Consumer<Urgency> listener) {
        ownChange = listener;
    }

    /** Adds load that this instance puts on a server. */
    public void add(ServerId server, ServerLoad load) {
        own.merge(server, load, ServerLoad::plus);
        addToTotal(server, load);
        boolean takesRoom = load.requests() > 0 && load.kvTokens() > 0;
        ownChange.accept(takesRoom ? Urgency.IMMEDIATE : Urgency.WITH_NEXT_REPORT);
    }

    /** Takes back load that was added. */
    public void subtract(ServerId server, ServerLoad load) {
        ServerLoad left = own.getOrDefault(server, ServerLoad.NONE).minus(load);
        if (left.equals(ServerLoad.NONE)) {
            own.remove(server);
        } else {
            own.put(server, left);
        }
        subtractFromTotal(server, load);
        boolean givesRoom = load.kvTokens() > 0;
        ownChange.accept(givesRoom ? Urgency.SOON : Urgency.WITH_NEXT_REPORT);
    }

    /** Counts load on a server anew, such as KV cache that has grown. */
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

    /** Replaces what is known of a peer. */
    public void replacePeerLoads(InstanceId peer, Map<ServerId, ServerLoad> loads, Duration now) {
        loads.forEach(this::addToTotal);
        PeerLoad before = peers.put(peer, new PeerLoad(Map.copyOf(loads), now));
        if (before != null) {
            before.loads().forEach(this::subtractFromTotal);
        }
    }

    /** Forgets peers that were not heard of in time. */
    public void expire(Duration now) {
        peers.values().removeIf(peer -> {
            boolean stale = now.minus(peer.heard()).compareTo(PEER_LOAD_TTL) > 0;
            if (stale) {
                peer.loads().forEach(this::subtractFromTotal);
            }
            return stale;
        });
    }

    /** Returns the load of a server by all instances. */
    public ServerLoad total(ServerId server) {
        return totals.getOrDefault(server, ServerLoad.NONE);
    }

    /** Returns the load that this instance puts on a server. */
    public ServerLoad own(ServerId server) {
        return own.getOrDefault(server, ServerLoad.NONE);
    }

    /** Returns the load that this instance puts on every server, for its peers. */
    public Map<ServerId, ServerLoad> ownLoads() {
        return Map.copyOf(own);
    }

    /** Takes note that a server rejected a request for want of room. */
    public void recordRejection(ServerId server, Duration now) {
        markFull(server, now.plus(FULL_AFTER_REJECTION));
    }

    /** Takes note that a server has no room until about {@code until}. */
    public void markFull(ServerId server, Duration until) {
        fullUntil.merge(server, until, (known, other) -> known.compareTo(other) >= 0 ? known : other);
    }

    /** Tells whether a server lately rejected a request for want of room. */
    public boolean isFull(ServerId server, Duration now) {
        Duration until = fullUntil.get(server);
        if (until != null && now.compareTo(until) >= 0) {
            fullUntil.remove(server);
            return false;
        }
        return until != null;
    }

    /** Returns the number of peers that were heard of lately. */
    public int peerCount() {
        return peers.size();
    }
}
