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
 * Decides to whom this instance sends reports, from the instances that are present; used by one thread.
 *
 * <p>In a small fleet every instance writes to every other. In a large one an instance writes to a relay of its
 * availability zone only, and the relays write to each other and to those that write to them. The relays of a zone are
 * its strongest instances, of equals the first by name, as many as its size needs. One that sends nothing back is kept as
 * a target, but the next is written to as well, so that no report is held up until a lost relay is known to be gone.
 */
final class RelayPlan {

    /** Above this number of instances relays cost less than a datagram from each to each at every change. */
    static final int MESH = 16;
    /** Instances of a zone for each relay, so that a relay's link of 7 Mbit/s carries its datagrams. */
    private static final int ZONE_PER_RELAY = 24;
    /** A relay writes at least every 500 ms; three of its datagrams may be lost. */
    static final Duration RELAY_SILENT = Duration.ofMillis(1700);
    /** Relays that do not answer and are written to all the same. */
    private static final int MAX_UNCONFIRMED = 3;

    private static final Comparator<LoadReport.Origin> STRONGEST_FIRST = Comparator.comparingInt(
                    LoadReport.Origin::milliCores)
            .reversed()
            .thenComparing(LoadReport.Origin::instance);

    private final LoadReport.Origin self;
    private final PeerTable table;
    private final Map<HostPort, Duration> heardFrom = new HashMap<>();
    private final Map<HostPort, Duration> subscribed = new HashMap<>();

    /**
     * To whom reports go.
     *
     * @param mesh whether every instance writes to every other
     * @param relaying whether this instance passes the reports of others on
     * @param first the addresses that get news first: relays, or all peers of a small fleet
     * @param subscribers the addresses that this instance passes reports on to
     */
    record Routes(boolean mesh, boolean relaying, List<HostPort> first, List<HostPort> subscribers) {}

    private RelayPlan(LoadReport.Origin self, PeerTable table) {
        this.self = self;
        this.table = table;
    }

    static RelayPlan create(LoadReport.Origin self, PeerTable table) {
        return new RelayPlan(self, table);
    }

    /**
     * Takes note that a datagram came from an address.
     *
     * @param passOn whether this instance is to pass reports on for the sender
     */
    void heardFrom(HostPort address, boolean passOn, Duration now) {
        heardFrom.put(address, now);
        if (passOn) {
            subscribed.put(address, now);
        } else {
            subscribed.remove(address);
        }
    }

    /** Forgets addresses that nothing came from for long. */
    void expire(Duration now) {
        heardFrom.values().removeIf(heard -> now.minus(heard).compareTo(PeerTable.PRESENT) > 0);
        subscribed.values().removeIf(heard -> now.minus(heard).compareTo(PeerTable.PRESENT) > 0);
    }

    Routes routes(Duration now) {
        if (table.size() < MESH) {
            return new Routes(true, true, List.copyOf(table.present()), List.of());
        }
        List<HostPort> zoneRelays = zoneRelays(now);
        List<HostPort> subscribers = List.copyOf(subscribed.keySet());
        List<HostPort> relays = new ArrayList<>();
        for (PeerTable.Peer peer : table.peers()) {
            if (peer.relaying() && !subscribed.containsKey(peer.address())) {
                relays.add(peer.address());
            }
        }
        boolean ownRelay = zoneRelays.contains(self.address());
        if (ownRelay || !subscribers.isEmpty()) {
            zoneRelays.stream()
                    .filter(address -> !address.equals(self.address()) && !relays.contains(address))
                    .forEach(relays::add);
            return new Routes(false, true, relays, subscribers);
        }
        return new Routes(false, false, zoneRelays, List.of());
    }

    /** Returns the relays of the own zone to write to, this instance among them if none before it answers. */
    private List<HostPort> zoneRelays(Duration now) {
        List<LoadReport.Origin> candidates = new ArrayList<>();
        candidates.add(self);
        for (PeerTable.Peer peer : table.peers()) {
            if (peer.origin().zone().equals(self.zone())) {
                candidates.add(peer.origin());
            }
        }
        candidates.sort(STRONGEST_FIRST);
        int relays = Math.ceilDiv(candidates.size(), ZONE_PER_RELAY);
        List<LoadReport.Origin> first = candidates.subList(0, relays);
        if (first.contains(self)) {
            return List.of(self.address());
        }
        // The instances of a zone share its relays evenly.
        Collections.rotate(first, candidates.indexOf(self) % relays);
        List<HostPort> chosen = new ArrayList<>();
        for (LoadReport.Origin candidate : candidates) {
            if (candidate.equals(self) || isConfirmed(candidate.address(), now)) {
                chosen.add(candidate.address());
                return chosen;
            }
            if (chosen.size() < MAX_UNCONFIRMED) {
                chosen.add(candidate.address());
            }
        }
        return chosen;
    }

    private boolean isConfirmed(HostPort address, Duration now) {
        Duration heard = heardFrom.get(address);
        return heard != null && now.minus(heard).compareTo(RELAY_SILENT) <= 0;
    }
}
