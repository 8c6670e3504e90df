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
public final class LoadBook {

    /**
     * How long the load of a silent peer still counts. Servers go on with the requests of a machine that lost power,
     * since nobody closes its connections; a stream takes some seconds.
     */
    public static final Duration PEER_STALE = Duration.ofSeconds(6);

    /** How long a server that rejected a request for want of room is taken to be full. */
    public static final Duration FULL = Duration.ofMillis(300);

    private final Map<ServerId, LoadShare> own = new HashMap<>();
    /** The sums over all instances, kept up to date since they are read far more often than they change. */
    private final Map<ServerId, LoadShare> totals = new HashMap<>();

    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();

    private final Map<ServerId, Duration> fullUntil = new HashMap<>();
    private Consumer<Urgency> ownChange = urgency -> {};

    /** How soon peers need to know of a change. */
    public enum Urgency {
        /** Room was taken that a peer could promise to another request. */
        AT_ONCE,
        /** Room came that a peer could use. */
        SOON,
        /** The change goes along with the next report. */
        WITH_THE_NEXT
    }

    private record PeerLoad(Map<ServerId, LoadShare> loads, Duration heard) {}

    private LoadBook() {}

    /** Returns an empty book. */
    public static LoadBook create() {
        return new LoadBook();
    }

    /** Names what is told when the own load changed. */
    public void onOwnChange(Consumer<Urgency> listener) {
        ownChange = listener;
    }

    /** Adds load that this instance puts on a server. */
    public void add(ServerId server, LoadShare load) {
        own.merge(server, load, LoadShare::plus);
        addToTotal(server, load);
        boolean takesRoom = load.requests() > 0 && load.kvTokens() > 0;
        ownChange.accept(takesRoom ? Urgency.AT_ONCE : Urgency.WITH_THE_NEXT);
    }

    /** Takes back load that was added. */
    public void subtract(ServerId server, LoadShare load) {
        LoadShare left = own.getOrDefault(server, LoadShare.NONE).minus(load);
        if (left.equals(LoadShare.NONE)) {
            own.remove(server);
        } else {
            own.put(server, left);
        }
        subtractFromTotal(server, load);
        boolean givesRoom = load.kvTokens() > 0;
        ownChange.accept(givesRoom ? Urgency.SOON : Urgency.WITH_THE_NEXT);
    }

    /** Counts load on a server anew, such as KV cache that has grown. */
    public void recount(ServerId server, LoadShare before, LoadShare after) {
        own.merge(server, after, LoadShare::plus);
        own.computeIfPresent(server, (id, sum) -> sum.minus(before));
        addToTotal(server, after);
        subtractFromTotal(server, before);
        ownChange.accept(Urgency.WITH_THE_NEXT);
    }

    private void addToTotal(ServerId server, LoadShare load) {
        totals.merge(server, load, LoadShare::plus);
    }

    private void subtractFromTotal(ServerId server, LoadShare load) {
        LoadShare left = totals.getOrDefault(server, LoadShare.NONE).minus(load);
        if (left.equals(LoadShare.NONE)) {
            totals.remove(server);
        } else {
            totals.put(server, left);
        }
    }

    /** Replaces what is known of a peer. */
    public void peerReported(InstanceId peer, Map<ServerId, LoadShare> loads, Duration now) {
        loads.forEach(this::addToTotal);
        PeerLoad before = peers.put(peer, new PeerLoad(Map.copyOf(loads), now));
        if (before != null) {
            before.loads().forEach(this::subtractFromTotal);
        }
    }

    /** Forgets peers that were not heard of in time. */
    public void expire(Duration now) {
        peers.values().removeIf(peer -> {
            boolean stale = now.minus(peer.heard()).compareTo(PEER_STALE) > 0;
            if (stale) {
                peer.loads().forEach(this::subtractFromTotal);
            }
            return stale;
        });
    }

    /** Returns the load of a server by all instances. */
    public LoadShare total(ServerId server) {
        return totals.getOrDefault(server, LoadShare.NONE);
    }

    /** Returns the load that this instance puts on a server. */
    public LoadShare own(ServerId server) {
        return own.getOrDefault(server, LoadShare.NONE);
    }

    /** Returns the load that this instance puts on every server, for its peers. */
    public Map<ServerId, LoadShare> ownLoads() {
        return Map.copyOf(own);
    }

    /** Takes note that a server rejected a request for want of room. */
    public void rejected(ServerId server, Duration now) {
        full(server, now.plus(FULL));
    }

    /** Takes note that a server has no room until about {@code until}. */
    public void full(ServerId server, Duration until) {
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
