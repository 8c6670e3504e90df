package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.gateway.balance.LoadTracker.Urgency;
import org.mangoridge.gateway.balance.ServerLoad;

/**
 * Decides which load reports go where and when, as a state machine used by one thread.
 *
 * <p>Room that is taken at a server is told at once, lest a peer promises it to another request. Room that is given back
 * is told after a rest, so that several changes share a datagram. In a large fleet both go to a relay, which passes them
 * on after a rest of its own; the rest grows with those it writes to, so that a relay sends about as many datagrams in a
 * fleet of any size. Without changes a report goes out all the same, to show that the instance is there.
 */
final class LoadGossip {

    /** Reports without a change, several within the time after which a peer counts as absent. */
    static final Duration CALM_INTERVAL = Duration.ofMillis(700);
    /** Reports to a relay; two of them lost, a third must come within the time after which a peer counts as absent. */
    static final Duration CALM_TO_RELAY = Duration.ofSeconds(1);
    /** In a fleet of hundreds they are rarer, but come twice within the time after which a peer counts as absent. */
    static final Duration LONGEST_CALM_TO_RELAY = Duration.ofMillis(1800);
    /** How much longer the interval is for each instance beyond {@link #LARGE_FLEET}: 1.72 s at 340. */
    private static final Duration CALM_PER_PEER = Duration.ofMillis(3);
    /** Up to this number of instances the shortest interval costs little. */
    private static final int LARGE_FLEET = 100;
    /** Reports of a relay, by which others see that it still passes reports on. */
    static final Duration CALM_OF_RELAY = Duration.ofMillis(500);

    /** Room that is taken in the same turn of the event loop shares a datagram. */
    private static final Duration URGENT_REST = Duration.ofMillis(1);
    /** Between relays, news of several instances share a datagram. */
    private static final Duration RELAY_REST = Duration.ofMillis(10);
    /** Rest for each other relay, so that relays send each other about 330 datagrams a second in a fleet of any size. */
    private static final Duration REST_PER_RELAY = Duration.ofMillis(3);

    private static final Duration SHORTEST_REST = Duration.ofMillis(100);
    /** Rest for each peer, so that a process sends and takes about 125 datagrams a second in a fleet of any size. */
    private static final Duration REST_PER_PEER = Duration.ofMillis(8);
    /** Rest for each subscriber, and for each datagram beyond the allowance: a relay sends about 500 a second. */
    private static final Duration REST_PER_DATAGRAM = Duration.ofMillis(2);
    /** Datagrams that a relay may send ahead, such as all that it knows to a zone's instances. */
    private static final Duration ALLOWANCE = REST_PER_DATAGRAM.multipliedBy(200);

    private static final Duration SHORTEST_SPREAD_REST = Duration.ofMillis(20);
    /** Well below the time after which a silent peer counts as absent. */
    private static final Duration LONGEST_SPREAD_REST = Duration.ofSeconds(1);
    /** Reports in one datagram, in bytes; with its headers it fits into an Ethernet frame of 1,500. */
    private static final int MAX_BATCH_BYTES = 1200;
    /** Silent addresses that are tried at each calm report, in a small fleet and by a relay; others try none. */
    private static final int TRIED_IN_MESH = 64;

    private static final int TRIED_BY_RELAY = 8;

    private final LoadReport.Origin self;
    private final PeerTable table;
    private final RelayPlan plan;
    private final Supplier<Map<ServerId, ServerLoad>> ownLoads;
    private final Supplier<LoadReport.Seen> seen;
    private final LoadCodec codec = LoadCodec.create();
    private final Outbox first = new Outbox();
    private final Outbox spread = new Outbox();
    /** Relays and newcomers that wrote here and would not hear of this instance otherwise. */
    private final Set<HostPort> unanswered = new LinkedHashSet<>();

    private RelayPlan.Routes routes;
    private long sequence;
    private Duration nextCalm = Duration.ZERO;

    /** What waits to be sent to one kind of receiver. */
    private static final class Outbox {
        private final Map<InstanceId, byte[]> reports = new LinkedHashMap<>();
        private boolean own;
        private Map<ServerId, ServerLoad> ownSent = Map.of();
        private Duration due;
        private Duration lastSent = Duration.ZERO;
        /** The time that the datagrams sent would have taken at the usual rate, beyond what has passed. */
        private Duration debt = Duration.ZERO;

        private void dueAt(Duration time) {
            if (due == null || time.compareTo(due) < 0) {
                due = time;
            }
        }

        private void sent(int datagrams, Duration now) {
            Duration left = debt.minus(now.minus(lastSent));
            debt = longer(Duration.ZERO, left).plus(REST_PER_DATAGRAM.multipliedBy(datagrams));
            reports.clear();
            own = false;
            due = null;
            lastSent = now;
        }
    }

    /** A datagram to send. */
    record Datagram(HostPort to, byte[] bytes) {}

    /** A report that is news, and what it changed. */
    record News(LoadReport report, PeerTable.Outcome outcome) {}

    private LoadGossip(
            LoadReport.Origin self,
            PeerTable table,
            Supplier<Map<ServerId, ServerLoad>> ownLoads,
            Supplier<LoadReport.Seen> seen) {
        this.self = self;
        this.table = table;
        this.plan = RelayPlan.create(self, table);
        this.ownLoads = ownLoads;
        this.seen = seen;
        this.routes = new RelayPlan.Routes(true, true, List.of(), List.of());
    }

    /**
     * Returns a machine that has sent and heard nothing.
     *
     * @param ownLoads gives the load that this instance puts on servers
     * @param seen gives what this instance has of the store
     */
    static LoadGossip create(
            LoadReport.Origin self,
            PeerTable table,
            Supplier<Map<ServerId, ServerLoad>> ownLoads,
            Supplier<LoadReport.Seen> seen) {
        return new LoadGossip(self, table, ownLoads, seen);
    }

    /** Takes note that the own load changed. */
    void ownChanged(Urgency urgency, Duration now) {
        if (urgency == Urgency.WITH_NEXT_REPORT) {
            return;
        }
        first.own = true;
        if (urgency == Urgency.SOON) {
            first.dueAt(restedSince(first, soonRest(), now));
        } else {
            first.dueAt(isRelay() ? restedSince(first, relayRest(), now) : now.plus(URGENT_REST));
        }
        if (!routes.subscribers().isEmpty()) {
            spread.own = true;
            spread.dueAt(restedSince(spread, spreadRest(), now));
        }
    }

    /** Takes a datagram; returns the reports in it that are news, or why it can't be read. */
    Result<List<News>, String> received(byte[] bytes, HostPort from, Duration now) {
        Result<LoadCodec.Batch, String> batch = LoadCodec.decodeBatch(bytes);
        if (!batch.isOk()) {
            return Result.err(batch.error());
        }
        boolean passOn = batch.value().passOn();
        plan.heardFrom(from, passOn, now);
        if (passOn && !routes.subscribers().contains(from)) {
            lookAgain(now);
        }
        List<News> news = new ArrayList<>();
        for (byte[] encoded : batch.value().reports()) {
            Result<LoadReport, String> read = codec.decode(encoded);
            if (!read.isOk()) {
                return Result.err(read.error());
            }
            LoadReport report = read.value();
            if (report.origin().instance().equals(self.instance())) {
                continue;
            }
            PeerTable.Outcome outcome = table.received(report, now);
            if (outcome != PeerTable.Outcome.STALE) {
                if (outcome == PeerTable.Outcome.JOINED || outcome == PeerTable.Outcome.LEFT) {
                    lookAgain(now);
                }
                news.add(new News(report, outcome));
                noteUnanswered(report, from, now);
                passOn(new News(report, outcome), encoded, passOn, now);
            }
        }
        return Result.ok(news);
    }

    /** An instance that knows few others writes as in a small fleet; it learns from the answer of others to write to. */
    private void noteUnanswered(LoadReport report, HostPort from, Duration now) {
        boolean direct = from.equals(report.origin().address());
        if (direct && report.relaying() && !routes.relaying() && !routes.first().contains(from)) {
            unanswered.add(from);
            first.dueAt(now.plus(URGENT_REST));
        }
    }

    /** What only shows that an instance is there goes along with the next report of this one. */
    private void passOn(News news, byte[] encoded, boolean ofSubscriber, Duration now) {
        if (!isRelay()) {
            return;
        }
        InstanceId instance = news.report().origin().instance();
        boolean soon = news.outcome() != PeerTable.Outcome.RENEWED;
        if (!routes.subscribers().isEmpty()) {
            spread.reports.put(instance, encoded);
            if (soon) {
                spread.dueAt(restedSince(spread, spreadRest(), now));
            }
        }
        if (ofSubscriber) {
            first.reports.put(instance, encoded);
            if (soon) {
                first.dueAt(restedSince(first, relayRest(), now.plus(RELAY_REST)));
            }
        }
    }

    /** Looks who is present; returns the instances that fell silent. Called a few times a second. */
    List<InstanceId> expire(Duration now) {
        List<InstanceId> gone = table.expire(now);
        plan.expire(now);
        lookAgain(now);
        return gone;
    }

    /** Whoever takes on or is given a relay's work reports at once, so that reports are not held up. */
    private void lookAgain(Duration now) {
        RelayPlan.Routes before = routes;
        routes = plan.routes(now);
        boolean takesOn = routes.relaying() && !before.relaying();
        boolean otherRelay = !routes.relaying() && !routes.first().equals(before.first());
        if (takesOn || otherRelay) {
            nextCalm = now;
        }
    }

    /** Returns when {@link #due} must be called next. */
    Duration nextDue() {
        Duration next = nextCalm;
        if (first.due != null && first.due.compareTo(next) < 0) {
            next = first.due;
        }
        if (spread.due != null && spread.due.compareTo(next) < 0) {
            next = spread.due;
        }
        return next;
    }

    /** Returns what is to be sent now. */
    List<Datagram> due(Duration now) {
        List<Datagram> datagrams = new ArrayList<>();
        if (now.compareTo(nextCalm) >= 0) {
            calm(now, datagrams);
            return datagrams;
        }
        if (first.due != null && now.compareTo(first.due) >= 0) {
            answer(datagrams);
            flush(first, routes.first(), now, datagrams);
        }
        if (spread.due != null && now.compareTo(spread.due) >= 0) {
            flush(spread, routes.subscribers(), now, datagrams);
        }
        return datagrams;
    }

    private void calm(Duration now, List<Datagram> datagrams) {
        nextCalm = now.plus(calmInterval());
        answer(datagrams);
        Map<ServerId, ServerLoad> loads = ownLoads.get();
        List<HostPort> told = routes.relaying() ? table.some() : List.of();
        byte[] own = LoadCodec.encode(report(loads, told, false));
        send(first.reports.values(), own, routes.first(), !routes.relaying(), datagrams);
        send(List.of(), own, table.absent(tried()), false, datagrams);
        first.ownSent = loads;
        int before = datagrams.size();
        if (spread.due == null || now.compareTo(spread.due) >= 0) {
            send(spread.reports.values(), own, routes.subscribers(), false, datagrams);
            spread.ownSent = loads;
            spread.sent(datagrams.size() - before, now);
        } else {
            spread.reports.put(self.instance(), own);
        }
        first.sent(before, now);
    }

    private void answer(List<Datagram> datagrams) {
        if (!unanswered.isEmpty()) {
            byte[] own = LoadCodec.encode(report(ownLoads.get(), table.some(), false));
            send(List.of(), own, unanswered, false, datagrams);
            unanswered.clear();
        }
    }

    private int tried() {
        if (routes.mesh()) {
            return TRIED_IN_MESH;
        }
        return routes.relaying() ? TRIED_BY_RELAY : 0;
    }

    private Duration calmInterval() {
        if (routes.mesh()) {
            return CALM_INTERVAL;
        }
        if (routes.relaying()) {
            return CALM_OF_RELAY;
        }
        Duration scaled = CALM_TO_RELAY.plus(CALM_PER_PEER.multipliedBy(Math.max(0, table.size() - LARGE_FLEET)));
        return scaled.compareTo(LONGEST_CALM_TO_RELAY) > 0 ? LONGEST_CALM_TO_RELAY : scaled;
    }

    /** Tells whether this instance passes the reports of others on; in a small fleet nobody has to. */
    private boolean isRelay() {
        return routes.relaying() && !routes.mesh();
    }

    private Duration relayRest() {
        return longer(RELAY_REST, REST_PER_RELAY.multipliedBy(routes.first().size()));
    }

    private void flush(Outbox box, Collection<HostPort> receivers, Duration now, List<Datagram> datagrams) {
        byte[] own = null;
        Map<ServerId, ServerLoad> loads = box.own ? ownLoads.get() : box.ownSent;
        if (box.own && !loads.equals(box.ownSent)) {
            box.ownSent = loads;
            own = LoadCodec.encode(report(loads, List.of(), false));
        }
        boolean empty = own == null && box.reports.isEmpty();
        if (!empty) {
            int before = datagrams.size();
            send(box.reports.values(), own, receivers, !routes.relaying(), datagrams);
            box.sent(datagrams.size() - before, now);
        } else {
            box.own = false;
            box.due = null;
        }
    }

    /** Returns the datagrams that tell the peers that this instance ends. */
    List<Datagram> leave() {
        List<Datagram> datagrams = new ArrayList<>();
        Set<HostPort> receivers = new LinkedHashSet<>(routes.first());
        receivers.addAll(routes.subscribers());
        byte[] own = LoadCodec.encode(report(Map.of(), List.of(), true));
        send(List.of(), own, receivers, !routes.relaying(), datagrams);
        return datagrams;
    }

    private LoadReport report(Map<ServerId, ServerLoad> loads, List<HostPort> told, boolean leaving) {
        return new LoadReport(self, ++sequence, loads, told, seen.get(), routes.relaying(), leaving);
    }

    private static void send(
            Collection<byte[]> reports,
            byte[] own,
            Collection<HostPort> receivers,
            boolean passOn,
            List<Datagram> datagrams) {
        if (receivers.isEmpty()) {
            return;
        }
        List<byte[]> all = new ArrayList<>();
        if (own != null) {
            all.add(own);
        }
        all.addAll(reports);
        int from = 0;
        while (from < all.size()) {
            int to = from + 1;
            int size = all.get(from).length;
            while (to < all.size() && size + all.get(to).length <= MAX_BATCH_BYTES) {
                size += all.get(to).length;
                to++;
            }
            byte[] bytes = LoadCodec.encodeBatch(all.subList(from, to), passOn);
            receivers.forEach(receiver -> datagrams.add(new Datagram(receiver, bytes)));
            from = to;
        }
    }

    private Duration soonRest() {
        return longer(SHORTEST_REST, REST_PER_PEER.multipliedBy(routes.first().size()));
    }

    private Duration spreadRest() {
        Duration bySize = REST_PER_DATAGRAM.multipliedBy(routes.subscribers().size());
        Duration rest = longer(longer(SHORTEST_SPREAD_REST, bySize), spread.debt.minus(ALLOWANCE));
        return rest.compareTo(LONGEST_SPREAD_REST) > 0 ? LONGEST_SPREAD_REST : rest;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private static Duration restedSince(Outbox box, Duration rest, Duration now) {
        return longer(now, box.lastSent.plus(rest));
    }
}
