package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.net.HostPort;

/**
 * Selects the instances to which this instance sends reports. Not thread-safe.
 *
 * <p>A small fleet is a full mesh. In a large fleet an instance sends to one relay of its availability zone only, and
 * relays send to each other and to their subscribers, the instances that send to them. The relays of a zone are its
 * instances with the most CPU, ties broken by id, as many as its size requires. A relay that does not respond stays a
 * target, but reports also go to the next candidate, so that they are not held up until the lost relay has timed out.
 */
final class RelayPlan {

    /** The largest full mesh, this instance included; in larger fleets relays need fewer datagrams per load change. */
    static final int MAX_MESH_INSTANCES = 16;
    /** Instances of a zone per relay; keeps the datagrams of a relay within a link of 7 Mbit/s. */
    private static final int INSTANCES_PER_RELAY = 24;
    /** Silence after which a relay counts as unresponsive; it sends every 500 ms at least, so three may be lost. */
    static final Duration RELAY_TIMEOUT = Duration.ofMillis(1700);
    /** Bounds the unresponsive relays that still receive reports. */
    private static final int MAX_UNRESPONSIVE_RELAYS = 3;

    private static final Comparator<LoadReport.Origin> BY_CPU_DESCENDING = Comparator.comparingInt(
                    LoadReport.Origin::milliCores)
            .reversed()
            .thenComparing(LoadReport.Origin::instance);

    private final LoadReport.Origin self;
    private final PeerTable table;
    private final Map<HostPort, Duration> lastHeard = new HashMap<>();
    private final Map<HostPort, Duration> lastSubscribed = new HashMap<>();

    /**
     * The receivers of reports.
     *
     * @param mesh whether every instance sends to every other
     * @param relaying whether this instance announces that it forwards reports; always true in a mesh
     * @param targets the relays to send to, or all peers in a mesh
     * @param subscribers the addresses to which this instance forwards reports
     */
    record Routes(boolean mesh, boolean relaying, List<HostPort> targets, List<HostPort> subscribers) {}

    private RelayPlan(LoadReport.Origin self, PeerTable table) {
        this.self = self;
        this.table = table;
    }

    static RelayPlan create(LoadReport.Origin self, PeerTable table) {
        return new RelayPlan(self, table);
    }

    /**
     * Records that a datagram arrived from an address.
     *
     * @param forward whether the sender subscribes to this instance as its relay
     */
    void datagramReceived(HostPort address, boolean forward, Duration now) {
        lastHeard.put(address, now);
        if (forward) {
            lastSubscribed.put(address, now);
        } else {
            lastSubscribed.remove(address);
        }
    }

    /** Removes addresses that have been silent for {@link PeerTable#PEER_TIMEOUT}. */
    void expire(Duration now) {
        lastHeard.values().removeIf(time -> now.minus(time).compareTo(PeerTable.PEER_TIMEOUT) > 0);
        lastSubscribed.values().removeIf(time -> now.minus(time).compareTo(PeerTable.PEER_TIMEOUT) > 0);
    }

    Routes routes(Duration now) {
        if (table.size() < MAX_MESH_INSTANCES) {
            return new Routes(true, true, List.copyOf(table.liveAddresses()), List.of());
        }
        List<HostPort> zoneRelays = zoneRelays(now);
        List<HostPort> subscribers = List.copyOf(lastSubscribed.keySet());
        List<HostPort> relays = new ArrayList<>();
        for (PeerTable.Peer peer : table.peers()) {
            if (peer.relaying() && !lastSubscribed.containsKey(peer.address())) {
                relays.add(peer.address());
            }
        }
        boolean selfIsRelay = zoneRelays.contains(self.address());
        if (selfIsRelay || !subscribers.isEmpty()) {
            zoneRelays.stream()
                    .filter(address -> !address.equals(self.address()) && !relays.contains(address))
                    .forEach(relays::add);
            return new Routes(false, true, relays, subscribers);
        }
        return new Routes(false, false, zoneRelays, List.of());
    }

    /** Returns the relays of this zone to send to; includes this instance if no candidate before it responds. */
    private List<HostPort> zoneRelays(Duration now) {
        List<LoadReport.Origin> candidates = new ArrayList<>();
        candidates.add(self);
        for (PeerTable.Peer peer : table.peers()) {
            if (peer.origin().zone().equals(self.zone())) {
                candidates.add(peer.origin());
            }
        }
        candidates.sort(BY_CPU_DESCENDING);
        int relayCount = Math.ceilDiv(candidates.size(), INSTANCES_PER_RELAY);
        List<LoadReport.Origin> elected = candidates.subList(0, relayCount);
        if (elected.contains(self)) {
            return List.of(self.address());
        }
        // Distributes the instances of the zone evenly over its relays.
        Collections.rotate(elected, candidates.indexOf(self) % relayCount);
        List<HostPort> chosen = new ArrayList<>();
        for (LoadReport.Origin candidate : candidates) {
            if (candidate.equals(self) || isResponsive(candidate.address(), now)) {
                chosen.add(candidate.address());
                return chosen;
            }
            if (chosen.size() < MAX_UNRESPONSIVE_RELAYS) {
                chosen.add(candidate.address());
            }
        }
        return chosen;
    }

    private boolean isResponsive(HostPort address, Duration now) {
        Duration last = lastHeard.get(address);
        return last != null && now.minus(last).compareTo(RELAY_TIMEOUT) <= 0;
    }
}
