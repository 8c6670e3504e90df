package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.gateway.balance.LoadTracker;
import org.mangoridge.gateway.balance.ServerLoad;

/** A fleet of instances that exchange load reports, in virtual time and without a network. */
final class GossipFleet {

    static final ServerId SERVER = ServerId.of("s-1");
    private static final int PORT = 7000;
    /** IP and UDP headers. */
    private static final int HEADER_BYTES = 28;

    private static final Duration DELAY = Duration.ofMillis(1);
    private static final Duration LOOK = Duration.ofMillis(400);

    private final SplittableRandom random;
    private final Map<HostPort, Member> members = new HashMap<>();
    private final List<Member> order = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private final Set<Member> down = new HashSet<>();
    private BiPredicate<Member, Member> cut = (from, to) -> false;
    private double loss;
    private Duration now = Duration.ofSeconds(1);
    private long numbers;
    private long sent;
    private long longest;

    private record Event(Duration at, long number, Runnable action) {}

    /** One instance. */
    final class Member {
        final LoadReport.Origin origin;
        final PeerTable table;
        final LoadTracker loads = LoadTracker.create();
        final LoadGossip gossip;
        long datagrams;
        long bytesSent;
        long bytesTaken;
        private Duration timer;

        private Member(int index, int zones, List<HostPort> seeds) {
            HostPort address = new HostPort("10.0." + index / 200 + "." + (index % 200 + 1), PORT);
            origin = new LoadReport.Origin(
                    InstanceId.of("entry-" + index),
                    1,
                    address,
                    AvailabilityZone.of("zone-" + index % zones),
                    360 + index * 37 % 1000);
            table = PeerTable.create(address, seeds, random.split());
            gossip = LoadGossip.create(origin, table, loads::ownLoads, () -> new LoadReport.Seen(1, 1));
            loads.onOwnChange(urgency -> {
                gossip.ownChanged(urgency, now);
                arm();
            });
        }

        private void look() {
            if (!down.contains(this)) {
                gossip.expire(now);
                loads.expire(now);
                wake();
                after(LOOK, this::look);
            }
        }

        private void wake() {
            if (down.contains(this)) {
                return;
            }
            timer = null;
            gossip.due(now).forEach(datagram -> transmit(this, datagram));
            arm();
        }

        private void arm() {
            Duration next = gossip.nextDue();
            if (timer == null || next.compareTo(timer) < 0) {
                timer = next;
                after(next.compareTo(now) < 0 ? Duration.ZERO : next.minus(now), this::wake);
            }
        }

        private void take(byte[] bytes, HostPort from) {
            if (!down.contains(this)) {
                gossip.received(bytes, from, now)
                        .value()
                        .forEach(news -> loads.replacePeerLoads(
                                news.report().origin().instance(), news.report().loads(), now));
                arm();
            }
        }

        /** Takes {@code tokens} of room at the server. */
        void takeRoom(int tokens) {
            loads.add(SERVER, new ServerLoad(1, 0, tokens));
        }

        long seen() {
            return loads.total(SERVER).kvTokens();
        }
    }

    private GossipFleet(int size, int zones, long seed) {
        this.random = new SplittableRandom(seed);
        List<HostPort> seeds =
                List.of(new HostPort("10.0.0.1", PORT), new HostPort("10.0.0.2", PORT), new HostPort("10.0.0.3", PORT));
        for (int index = 0; index < size; index++) {
            Member member = new Member(index, zones, seeds);
            members.put(member.origin.address(), member);
            order.add(member);
            after(Duration.ofMillis(random.nextInt(300)), member::look);
        }
    }

    /** Returns a fleet whose instances have just started. */
    static GossipFleet started(int size, int zones, long seed) {
        return new GossipFleet(size, zones, seed);
    }

    private void after(Duration delay, Runnable action) {
        events.add(new Event(now.plus(delay), numbers++, action));
    }

    private void transmit(Member from, LoadGossip.Datagram datagram) {
        sent++;
        from.datagrams++;
        from.bytesSent += datagram.bytes().length + HEADER_BYTES;
        longest = Math.max(longest, datagram.bytes().length);
        Member to = members.get(datagram.to());
        if (to == null || cut.test(from, to) || random.nextDouble() < loss) {
            return;
        }
        to.bytesTaken += datagram.bytes().length + HEADER_BYTES;
        after(DELAY, () -> to.take(datagram.bytes(), from.origin.address()));
    }

    /** Lets time pass. */
    void run(Duration time) {
        Duration end = now.plus(time);
        while (!events.isEmpty() && events.peek().at().compareTo(end) <= 0) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    /** Lets each of {@code changes} random instances a second take room at once and give it back later. */
    void load(int changes, Duration time) {
        Duration step = Duration.ofSeconds(1).dividedBy(changes);
        for (Duration at = Duration.ZERO; at.compareTo(time) < 0; at = at.plus(step)) {
            Member member = order.get(random.nextInt(order.size()));
            after(at, () -> member.takeRoom(1));
            after(at.plusMillis(700), () -> member.loads.subtract(SERVER, new ServerLoad(1, 0, 1)));
        }
        run(time);
    }

    /** Loses this share of all datagrams. */
    void lose(double share) {
        loss = share;
    }

    /** Drops what goes from one instance to another. */
    void cut(BiPredicate<Member, Member> lost) {
        cut = lost;
    }

    void kill(Member member) {
        down.add(member);
    }

    List<Member> members() {
        return order.stream().filter(member -> !down.contains(member)).toList();
    }

    /** Returns the instances that pass reports on and are up. */
    List<Member> relays() {
        Set<HostPort> relays = new HashSet<>();
        for (Member member : members()) {
            member.table.peers().stream().filter(PeerTable.Peer::relaying).forEach(peer -> relays.add(peer.address()));
        }
        return members().stream()
                .filter(member -> relays.contains(member.origin.address()))
                .toList();
    }

    /** Returns the datagrams sent since the last call. */
    long takeSent() {
        long taken = sent;
        sent = 0;
        for (Member member : order) {
            member.datagrams = 0;
            member.bytesSent = 0;
            member.bytesTaken = 0;
        }
        return taken;
    }

    long longestDatagram() {
        return longest;
    }
}
