package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.ServerLoad;

/**
 * The membership table: live instances and the addresses at which others may be found. Not thread-safe.
 *
 * <p>Addresses without a live instance are kept for a while and probed, so that the two sides of a network partition
 * find each other again.
 */
public final class PeerTable {

    /** Time without a report after which a peer is no longer considered live. */
    public static final Duration PEER_TIMEOUT = Duration.ofSeconds(4);

    /** Time without a report after which an address is removed. */
    private static final Duration ADDRESS_RETENTION = Duration.ofSeconds(60);
    /** Number of known addresses above which no more are learned from reports. */
    private static final int MAX_ADDRESSES = 1024;
    /** Bounds the peer addresses in one report. */
    private static final int MAX_SHARED_ADDRESSES = 12;

    private final HostPort self;
    private final List<HostPort> seeds;
    private final RandomGenerator random;
    private final Map<HostPort, Contact> contacts = new LinkedHashMap<>();
    private final Map<InstanceId, Peer> peers = new HashMap<>();

    private LoadReport.StoreVersions newestVersions = LoadReport.StoreVersions.NONE;

    /** An address that may be probed; {@code lastHeardAt} is null until a report arrives from it. */
    private record Contact(Duration learnedAt, Duration lastHeardAt) {}

    /**
     * The last known state of a live instance.
     *
     * @param origin the current run of the instance
     * @param sequence the sequence number of its newest report
     * @param lastHeardAt when that report arrived, directly or through a relay
     * @param loads the load that it puts on servers
     * @param relaying whether it forwards the reports of other instances
     */
    record Peer(
            LoadReport.Origin origin,
            long sequence,
            Duration lastHeardAt,
            Map<ServerId, ServerLoad> loads,
            boolean relaying) {

        HostPort address() {
            return origin.address();
        }
    }

    /** The effect of a report on the table. */
    public enum Outcome {
        /** The report is older than the last one known and was ignored. */
        STALE,
        /** The sender was not live before. */
        JOINED,
        /** The load of the sender changed. */
        CHANGED,
        /** The load is the same; the report only renews the liveness of the sender. */
        UNCHANGED,
        /** The sender is shutting down and was removed. */
        LEFT
    }

    private PeerTable(HostPort self, List<HostPort> seeds, RandomGenerator random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /** Returns a table that knows the seeds only; {@code self} is never a candidate. */
    public static PeerTable create(HostPort self, List<HostPort> seeds, RandomGenerator random) {
        return new PeerTable(self, seeds, random);
    }

    /** Updates the table with a report and the addresses in it. */
    public Outcome update(LoadReport report, Duration now) {
        report.peers().forEach(address -> addAddress(address, now));
        InstanceId instance = report.origin().instance();
        HostPort address = report.origin().address();
        Peer known = peers.get(instance);
        if (known != null && isOlder(report, known)) {
            return Outcome.STALE;
        }
        if (report.leaving()) {
            peers.remove(instance);
            contacts.remove(address);
            return Outcome.LEFT;
        }
        boolean live = known != null && now.minus(known.lastHeardAt()).compareTo(PEER_TIMEOUT) <= 0;
        peers.put(instance, new Peer(report.origin(), report.sequence(), now, report.loads(), report.relaying()));
        contacts.put(address, new Contact(now, now));
        newestVersions = newestVersions.max(report.storeVersions());
        if (!live) {
            return Outcome.JOINED;
        }
        return known.loads().equals(report.loads()) ? Outcome.UNCHANGED : Outcome.CHANGED;
    }

    private static boolean isOlder(LoadReport report, Peer known) {
        long started = report.origin().startedMillis();
        long knownStarted = known.origin().startedMillis();
        if (started != knownStarted) {
            return started < knownStarted;
        }
        return report.sequence() <= known.sequence();
    }

    /** Adds an address at which an instance may listen. */
    public void addAddress(HostPort address, Duration now) {
        if (!address.equals(self) && contacts.size() < MAX_ADDRESSES) {
            contacts.putIfAbsent(address, new Contact(now, null));
        }
    }

    /** Removes and returns the peers that timed out, and removes addresses silent for {@link #ADDRESS_RETENTION}. */
    public List<InstanceId> expire(Duration now) {
        List<InstanceId> gone = new ArrayList<>();
        peers.entrySet().removeIf(each -> {
            boolean silent = now.minus(each.getValue().lastHeardAt()).compareTo(PEER_TIMEOUT) > 0;
            if (silent) {
                gone.add(each.getKey());
            }
            return silent;
        });
        contacts.values().removeIf(contact -> {
            Duration last = contact.lastHeardAt() == null ? contact.learnedAt() : contact.lastHeardAt();
            return now.minus(last).compareTo(ADDRESS_RETENTION) > 0;
        });
        return gone;
    }

    /** Returns the live peers. */
    Collection<Peer> peers() {
        return peers.values();
    }

    /** Returns the addresses of the live peers. */
    public Collection<HostPort> liveAddresses() {
        return peers.values().stream().map(Peer::address).distinct().toList();
    }

    /** Returns a new random sample of at most {@code limit} addresses at which no instance is known to be live. */
    public List<HostPort> probeCandidates(int limit) {
        Collection<HostPort> live = liveAddresses();
        List<HostPort> addresses = new ArrayList<>(seeds);
        addresses.addAll(contacts.keySet());
        List<HostPort> candidates = new ArrayList<>(addresses.stream()
                .filter(address -> !live.contains(address) && !address.equals(self))
                .distinct()
                .toList());
        return sample(candidates, limit);
    }

    /** Returns a random sample of live addresses to include in a report. */
    public List<HostPort> sampleLiveAddresses() {
        return sample(new ArrayList<>(liveAddresses()), MAX_SHARED_ADDRESSES);
    }

    private List<HostPort> sample(List<HostPort> addresses, int limit) {
        if (addresses.size() <= limit) {
            return addresses;
        }
        Collections.shuffle(addresses, Random.from(random));
        return addresses.subList(0, limit);
    }

    /** Returns the newest versions of stored data that any peer reported. */
    public LoadReport.StoreVersions newestVersions() {
        return newestVersions;
    }

    /** Returns whether the id of an instance sorts before the ids of all live peers. */
    public boolean hasLowestId(InstanceId instance) {
        return peers.keySet().stream().allMatch(peer -> instance.compareTo(peer) < 0);
    }

    /** Returns the number of live peers. */
    public int size() {
        return peers.size();
    }
}
