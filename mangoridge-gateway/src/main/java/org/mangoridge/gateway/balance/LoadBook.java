package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;

/**
 * The load of every server, as this instance counts its own requests and hears of its peers'; used by one thread.
 */
public final class LoadBook {

    /** A peer that has not been heard of for this long counts as without load; ten reports of a calm peer. */
    public static final Duration PEER_STALE = Duration.ofSeconds(3);

    private final Map<ServerId, LoadShare> own = new HashMap<>();
    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();

    private Runnable ownChange = () -> {};

    private record PeerLoad(Map<ServerId, LoadShare> loads, Duration heard) {}

    private LoadBook() {}

    /** Returns an empty book. */
    public static LoadBook create() {
        return new LoadBook();
    }

    /** Names what is told when the own load changed. */
    public void onOwnChange(Runnable listener) {
        ownChange = listener;
    }

    /** Adds load that this instance puts on a server. */
    public void add(ServerId server, LoadShare load) {
        own.merge(server, load, LoadShare::plus);
        ownChange.run();
    }

    /** Takes back load that was added. */
    public void subtract(ServerId server, LoadShare load) {
        LoadShare left = own.getOrDefault(server, LoadShare.NONE).minus(load);
        if (left.equals(LoadShare.NONE)) {
            own.remove(server);
        } else {
            own.put(server, left);
        }
        ownChange.run();
    }

    /** Replaces what is known of a peer. */
    public void peerReported(InstanceId peer, Map<ServerId, LoadShare> loads, Duration now) {
        peers.put(peer, new PeerLoad(Map.copyOf(loads), now));
    }

    /** Forgets peers that were not heard of in time. */
    public void expire(Duration now) {
        peers.values().removeIf(peer -> now.minus(peer.heard()).compareTo(PEER_STALE) > 0);
    }

    /** Returns the load of a server by all instances. */
    public LoadShare total(ServerId server) {
        LoadShare sum = own.getOrDefault(server, LoadShare.NONE);
        for (PeerLoad peer : peers.values()) {
            LoadShare share = peer.loads().get(server);
            if (share != null) {
                sum = sum.plus(share);
            }
        }
        return sum;
    }

    /** Returns the load that this instance puts on a server. */
    public LoadShare own(ServerId server) {
        return own.getOrDefault(server, LoadShare.NONE);
    }

    /** Returns the load that this instance puts on every server, for its peers. */
    public Map<ServerId, LoadShare> ownLoads() {
        return Map.copyOf(own);
    }

    /** Returns the number of peers that were heard of lately. */
    public int peerCount() {
        return peers.size();
    }
}
