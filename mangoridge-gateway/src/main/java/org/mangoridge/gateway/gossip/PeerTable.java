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
import org.mangoridge.gateway.balance.ServerLoad;

/**
 * The instances that reports come from and go to, as a state machine used by one thread.
 *
 * <p>An address that nothing was heard from is written to now and then for a while, so that sides of a cut meet again.
 */
public final class PeerTable {

    /** A peer that is silent for this long is not counted as present. */
    public static final Duration PRESENT = Duration.ofSeconds(4);

    private static final Duration FORGET = Duration.ofSeconds(60);
    private static final int MAX_ADDRESSES = 1024;
    private static final int MAX_TOLD = 12;

    private final HostPort self;
    private final List<HostPort> seeds;
    private final RandomGenerator random;
    private final Map<HostPort, Contact> contacts = new LinkedHashMap<>();
    private final Map<InstanceId, Peer> peers = new HashMap<>();

    private LoadReport.Seen newest = LoadReport.Seen.NOTHING;

    private record Contact(Duration learned, Duration heard) {}

    /**
     * What is known of an instance that is present.
     *
     * @param origin its run
     * @param sequence the number of its newest report
     * @param heard when that report came, by whichever way
     * @param loads the load that it puts on servers
     * @param relaying whether it passes the reports of others on
     */
    record Peer(
            LoadReport.Origin origin,
            long sequence,
            Duration heard,
            Map<ServerId, ServerLoad> loads,
            boolean relaying) {

        HostPort address() {
            return origin.address();
        }
    }

    /** What a report changes. */
    public enum Outcome {
        /** It is older than what is known. */
        STALE,
        /** It comes from an instance that was not present. */
        JOINED,
        /** Its load is another than before. */
        CHANGED,
        /** It shows that its sender is there, and nothing new. */
        RENEWED,
        /** Its sender ends. */
        LEFT
    }

    private PeerTable(HostPort self, List<HostPort> seeds, RandomGenerator random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /** Returns a table that knows the seeds only; its own address is passed over. */
    public static PeerTable create(HostPort self, List<HostPort> seeds, RandomGenerator random) {
        return new PeerTable(self, seeds, random);
    }

    /** Takes a report. */
    public Outcome received(LoadReport report, Duration now) {
        report.peers().forEach(address -> learn(address, now));
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
        boolean present = known != null && now.minus(known.heard()).compareTo(PRESENT) <= 0;
        peers.put(instance, new Peer(report.origin(), report.sequence(), now, report.loads(), report.relaying()));
        contacts.put(address, new Contact(now, now));
        newest = newest.newer(report.seen());
        if (!present) {
            return Outcome.JOINED;
        }
        return known.loads().equals(report.loads()) ? Outcome.RENEWED : Outcome.CHANGED;
    }

    private static boolean isOlder(LoadReport report, Peer known) {
        long started = report.origin().startedMillis();
        long knownStarted = known.origin().startedMillis();
        if (started != knownStarted) {
            return started < knownStarted;
        }
        return report.sequence() <= known.sequence();
    }

    /** Takes an address that an instance may have. */
    public void learn(HostPort address, Duration now) {
        if (!address.equals(self) && contacts.size() < MAX_ADDRESSES) {
            contacts.putIfAbsent(address, new Contact(now, null));
        }
    }

    /** Returns the instances that fell silent since the last call, and forgets addresses that were silent for long. */
    public List<InstanceId> expire(Duration now) {
        List<InstanceId> gone = new ArrayList<>();
        peers.entrySet().removeIf(each -> {
            boolean silent = now.minus(each.getValue().heard()).compareTo(PRESENT) > 0;
            if (silent) {
                gone.add(each.getKey());
            }
            return silent;
        });
        contacts.values().removeIf(contact -> {
            Duration last = contact.heard() == null ? contact.learned() : contact.heard();
            return now.minus(last).compareTo(FORGET) > 0;
        });
        return gone;
    }

    /** Returns the instances that are present. */
    Collection<Peer> peers() {
        return peers.values();
    }

    /** Returns the addresses of the instances that are present. */
    public Collection<HostPort> present() {
        return peers.values().stream().map(Peer::address).distinct().toList();
    }

    /** Returns at most {@code limit} addresses, drawn anew, to try where no instance is known to be present. */
    public List<HostPort> absent(int limit) {
        Collection<HostPort> present = present();
        List<HostPort> addresses = new ArrayList<>(seeds);
        addresses.addAll(contacts.keySet());
        List<HostPort> absent = new ArrayList<>(addresses.stream()
                .filter(address -> !present.contains(address) && !address.equals(self))
                .distinct()
                .toList());
        return drawn(absent, limit);
    }

    /** Returns some addresses of present instances to tell others of. */
    public List<HostPort> some() {
        return drawn(new ArrayList<>(present()), MAX_TOLD);
    }

    private List<HostPort> drawn(List<HostPort> addresses, int limit) {
        if (addresses.size() <= limit) {
            return addresses;
        }
        Collections.shuffle(addresses, Random.from(random));
        return addresses.subList(0, limit);
    }

    /** Returns the newest of what instances were heard to have of the store. */
    public LoadReport.Seen newest() {
        return newest;
    }

    /** Tells whether an instance comes before all that are present, by name. */
    public boolean isFirst(InstanceId instance) {
        return peers.keySet().stream().allMatch(peer -> instance.compareTo(peer) < 0);
    }

    /** Returns the number of instances that are present. */
    public int size() {
        return peers.size();
    }
}
