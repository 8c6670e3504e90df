package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.LoadTracker.Urgency;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.directory.LeavingRun;
import org.mangoridge.dispatch.limit.LimitStatus;
import org.mangoridge.dispatch.quarantine.CrashEvidence;

/**
 * The gossip protocol for load reports: decides which reports are sent where and when. Does no I/O; not thread-safe.
 *
 * <p>Capacity that is reserved at a server is reported at once, so that no peer promises it to another request. Released
 * capacity is reported after a delay, so that several changes share a datagram. In a large fleet both go to a relay,
 * which batches the reports it forwards; its send interval grows with its number of receivers, so that its datagram
 * rate is about the same in a fleet of any size. Without load changes, reports serve as heartbeats.
 */
final class LoadGossip {

    /** Heartbeat interval in a mesh; several heartbeats fit into {@link PeerTable#PEER_TIMEOUT}. */
    static final Duration MESH_HEARTBEAT_INTERVAL = Duration.ofMillis(700);
    /** Shortest heartbeat interval to a relay; a peer stays live if two of three heartbeats are lost. */
    static final Duration MIN_HEARTBEAT_INTERVAL_TO_RELAY = Duration.ofSeconds(1);
    /** Longest heartbeat interval to a relay; two heartbeats fit into {@link PeerTable#PEER_TIMEOUT}. */
    static final Duration MAX_HEARTBEAT_INTERVAL_TO_RELAY = Duration.ofMillis(1800);
    /** Increase of the interval to a relay per peer beyond {@link #MAX_PEERS_AT_MIN_INTERVAL}: 1.72 s at 340 instances. */
    private static final Duration HEARTBEAT_INCREASE_PER_PEER = Duration.ofMillis(3);
    /** Number of peers up to which heartbeats to a relay are sent at the shortest interval. */
    private static final int MAX_PEERS_AT_MIN_INTERVAL = 100;
    /** Heartbeat interval of a relay, by which others see that it still forwards reports. */
    static final Duration RELAY_HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** Delay of urgent reports, so that reservations made in one iteration of the event loop share a datagram. */
    private static final Duration URGENT_BATCH_DELAY = Duration.ofMillis(1);
    /** Minimum time between datagrams of a relay to other relays, so that reports of several instances share one. */
    private static final Duration MIN_RELAY_SEND_INTERVAL = Duration.ofMillis(10);
    /** Send interval per target relay; limits the datagrams between relays to about 330 a second in any fleet. */
    private static final Duration SEND_INTERVAL_PER_RELAY = Duration.ofMillis(3);

    /** Interval at which evidence of crashes and limits are told again, so that lost datagrams and restarts do not matter. */
    static final Duration EVIDENCE_INTERVAL = Duration.ofMillis(1500);
    /** Interval at which new evidence is repeated, since any datagram can be lost and many instances must act soon. */
    private static final Duration NEW_EVIDENCE_INTERVAL = Duration.ofMillis(500);

    private static final int NEW_EVIDENCE_REPEATS = 2;
    /** Minimum time between datagrams with new evidence, so that crashes at about the same time share one. */
    private static final Duration MIN_EVIDENCE_INTERVAL = Duration.ofMillis(100);

    /** Minimum time between datagrams that report released capacity. */
    private static final Duration MIN_SEND_INTERVAL = Duration.ofMillis(100);
    /** Send interval per target; limits an instance to about 125 datagrams a second each way in any fleet. */
    private static final Duration SEND_INTERVAL_PER_PEER = Duration.ofMillis(8);
    /** Time accounted for each datagram to a subscriber; limits a relay to about 500 a second. */
    private static final Duration TIME_PER_DATAGRAM = Duration.ofMillis(2);
    /** Burst of 200 datagrams beyond that rate, such as all known reports to the instances of a zone. */
    private static final Duration BURST_ALLOWANCE = TIME_PER_DATAGRAM.multipliedBy(200);

    /** Minimum time between datagrams to subscribers. */
    private static final Duration MIN_FORWARD_INTERVAL = Duration.ofMillis(20);
    /** Maximum time between datagrams to subscribers, well below {@link PeerTable#PEER_TIMEOUT}. */
    private static final Duration MAX_FORWARD_INTERVAL = Duration.ofSeconds(1);
    /** Maximum size of the reports in one datagram; with headers it fits into an Ethernet MTU of 1,500 bytes. */
    private static final int MAX_BATCH_BYTES = 1200;
    /** Maximum encoded size of what is told of a run of a server, without the server's id. */
    private static final int MAX_RUN_BYTES = 40;
    /** Addresses without a live instance that are probed with each heartbeat in a mesh. */
    private static final int PROBES_IN_MESH = 64;
    /** The same for a relay; other instances of a large fleet probe none. */
    private static final int PROBES_BY_RELAY = 8;

    private final LoadReport.Origin self;
    private final PeerTable table;
    private final RelayPlan plan;
    private final LocalState local;
    private final EvidencePages evidencePages = new EvidencePages();
    private final RotatingPage<LimitStatus> limitPages = new RotatingPage<>(MAX_BATCH_BYTES, LoadGossip::sizeOf);
    private final RotatingPage<LeavingRun> leavingPages = new RotatingPage<>(MAX_BATCH_BYTES, LoadGossip::sizeOf);
    private final LoadCodec codec = LoadCodec.create();
    private final Outbox targetOutbox = new Outbox();
    private final Outbox subscriberOutbox = new Outbox();
    /** Relays and new instances that sent a report here and would not receive one from this instance otherwise. */
    private final Set<HostPort> awaitingReply = new LinkedHashSet<>();

    private RelayPlan.Routes routes;
    private long sequence;
    private Duration nextHeartbeat = Duration.ZERO;
    private Duration nextEvidence = Duration.ZERO;
    private Duration lastEvidence = Duration.ZERO;
    private int evidenceRepeats;

    /** The reports that are queued for one group of receivers. */
    private static final class Outbox {
        private final Map<InstanceId, byte[]> reports = new LinkedHashMap<>();
        private boolean ownLoadChanged;
        private boolean ownUseChanged;
        private Map<ServerId, ServerLoad> lastSentLoads = Map.of();
        private Duration due;
        private Duration lastSent = Duration.ZERO;
        /** How far the sent datagrams are ahead of one per {@link #TIME_PER_DATAGRAM}, as in a leaky bucket. */
        private Duration rateDebt = Duration.ZERO;

        private void dueAt(Duration time) {
            if (due == null || time.compareTo(due) < 0) {
                due = time;
            }
        }

        private void sent(int datagrams, Duration now) {
            Duration left = rateDebt.minus(now.minus(lastSent));
            rateDebt = max(Duration.ZERO, left).plus(TIME_PER_DATAGRAM.multipliedBy(datagrams));
            reports.clear();
            ownLoadChanged = false;
            ownUseChanged = false;
            due = null;
            lastSent = now;
        }
    }

    /** A datagram to send. */
    record Datagram(HostPort to, byte[] bytes) {}

    /** A report that is newer than the last known one, and its effect on the peer table. */
    record ReceivedReport(LoadReport report, PeerTable.Outcome outcome) {}

    private LoadGossip(LoadReport.Origin self, PeerTable table, LocalState local) {
        this.self = self;
        this.table = table;
        this.plan = RelayPlan.create(self, table);
        this.local = local;
        this.routes = new RelayPlan.Routes(true, true, List.of(), List.of());
    }

    /** Returns a protocol instance that has sent and received nothing. */
    static LoadGossip create(LoadReport.Origin self, PeerTable table, LocalState local) {
        return new LoadGossip(self, table, local);
    }

    private static int sizeOf(LimitStatus status) {
        return status.run().server().value().length() + MAX_RUN_BYTES;
    }

    private static int sizeOf(LeavingRun leaving) {
        return leaving.run().server().value().length() + MAX_RUN_BYTES;
    }

    /** Schedules evidence, limits or departures that this instance has observed, or that a relay has received, to be told soon. */
    void evidenceChanged(Duration now) {
        Duration due = max(now.plus(URGENT_BATCH_DELAY), lastEvidence.plus(MIN_EVIDENCE_INTERVAL));
        nextEvidence = due.compareTo(nextEvidence) < 0 ? due : nextEvidence;
        evidenceRepeats = NEW_EVIDENCE_REPEATS;
    }

    /** Returns whether this instance has to pass new evidence on at once. */
    boolean passesEvidenceOn() {
        return isRelay();
    }

    /** Schedules a report after the load of this instance changed. */
    void ownLoadChanged(Urgency urgency, Duration now) {
        if (urgency == Urgency.WITH_NEXT_REPORT) {
            return;
        }
        targetOutbox.ownLoadChanged = true;
        if (urgency == Urgency.SOON) {
            targetOutbox.dueAt(earliestSend(targetOutbox, sendInterval(), now));
        } else {
            targetOutbox.dueAt(
                    isRelay() ? earliestSend(targetOutbox, relaySendInterval(), now) : now.plus(URGENT_BATCH_DELAY));
        }
        if (!routes.subscribers().isEmpty()) {
            subscriberOutbox.ownLoadChanged = true;
            subscriberOutbox.dueAt(earliestSend(subscriberOutbox, forwardInterval(), now));
        }
    }

    /** Schedules a report after a workspace was refused what it asked for here: others must know its demand. */
    void ownUseChanged(Duration now) {
        targetOutbox.ownUseChanged = true;
        targetOutbox.dueAt(earliestSend(targetOutbox, sendInterval(), now));
        if (!routes.subscribers().isEmpty()) {
            subscriberOutbox.ownUseChanged = true;
            subscriberOutbox.dueAt(earliestSend(subscriberOutbox, forwardInterval(), now));
        }
    }

    /**
     * The content of a datagram.
     *
     * @param reports the reports that were not stale
     * @param evidence evidence of crashes of servers
     * @param limits limits of servers
     * @param leavingRuns runs of servers that have said that they leave
     * @param error why the datagram, or the last undecodable report in it, could not be decoded; empty if all could
     */
    record Reception(
            List<ReceivedReport> reports,
            CrashEvidence evidence,
            List<LimitStatus> limits,
            List<LeavingRun> leavingRuns,
            Optional<String> error) {}

    /** Processes a datagram; an undecodable report does not affect the others. */
    Reception receive(byte[] bytes, HostPort from, Duration now) {
        Result<LoadCodec.Batch, String> batch = LoadCodec.decodeBatch(bytes);
        if (!batch.isOk()) {
            return new Reception(List.of(), CrashEvidence.NONE, List.of(), List.of(), Optional.of(batch.error()));
        }
        Optional<String> error = Optional.empty();
        boolean passOn = batch.value().passOn();
        plan.datagramReceived(from, passOn, now);
        if (passOn && !routes.subscribers().contains(from)) {
            updateRoutes(now);
        }
        List<ReceivedReport> received = new ArrayList<>();
        for (byte[] encoded : batch.value().reports()) {
            Result<LoadReport, String> decoded = codec.decode(encoded);
            if (!decoded.isOk()) {
                error = Optional.of(decoded.error());
                continue;
            }
            LoadReport report = decoded.value();
            if (report.origin().instance().equals(self.instance())) {
                continue;
            }
            PeerTable.Outcome outcome = table.update(report, now);
            if (outcome != PeerTable.Outcome.STALE) {
                if (outcome == PeerTable.Outcome.JOINED || outcome == PeerTable.Outcome.LEFT) {
                    updateRoutes(now);
                }
                received.add(new ReceivedReport(report, outcome));
                recordAwaitingReply(report, from, now);
                forward(new ReceivedReport(report, outcome), encoded, passOn, now);
            }
        }
        return new Reception(
                received,
                batch.value().evidence(),
                batch.value().limits(),
                batch.value().leavingRuns(),
                error);
    }

    /** Schedules a reply to a relay or new instance; a new one sends as in a mesh until replies tell it of its peers. */
    private void recordAwaitingReply(LoadReport report, HostPort from, Duration now) {
        boolean direct = from.equals(report.origin().address());
        if (direct
                && report.relaying()
                && !routes.relaying()
                && !routes.targets().contains(from)) {
            awaitingReply.add(from);
            targetOutbox.dueAt(now.plus(URGENT_BATCH_DELAY));
        }
    }

    /** Queues a report for forwarding; a heartbeat without a change of load or use waits for the next datagram that is due. */
    private void forward(ReceivedReport received, byte[] encoded, boolean fromSubscriber, Duration now) {
        if (!isRelay()) {
            return;
        }
        InstanceId instance = received.report().origin().instance();
        boolean changed = received.outcome() != PeerTable.Outcome.UNCHANGED
                || !received.report().uses().isEmpty();
        if (!routes.subscribers().isEmpty()) {
            subscriberOutbox.reports.put(instance, encoded);
            if (changed) {
                subscriberOutbox.dueAt(earliestSend(subscriberOutbox, forwardInterval(), now));
            }
        }
        if (fromSubscriber) {
            targetOutbox.reports.put(instance, encoded);
            if (changed) {
                targetOutbox.dueAt(earliestSend(targetOutbox, relaySendInterval(), now.plus(MIN_RELAY_SEND_INTERVAL)));
            }
        }
    }

    /** Removes and returns the peers that timed out. To be called a few times a second. */
    List<InstanceId> expire(Duration now) {
        List<InstanceId> gone = table.expire(now);
        plan.expire(now);
        updateRoutes(now);
        return gone;
    }

    /** Recomputes the routes; an instance that becomes a relay or changes its relay sends at once to avoid a gap. */
    private void updateRoutes(Duration now) {
        RelayPlan.Routes before = routes;
        routes = plan.routes(now);
        boolean becomesRelay = routes.relaying() && !before.relaying();
        boolean relayChanged = !routes.relaying() && !routes.targets().equals(before.targets());
        if (becomesRelay || relayChanged) {
            nextHeartbeat = now;
        }
    }

    /** Returns when {@link #dueDatagrams} must be called next. */
    Duration nextDue() {
        Duration next = nextEvidence.compareTo(nextHeartbeat) < 0 ? nextEvidence : nextHeartbeat;
        if (targetOutbox.due != null && targetOutbox.due.compareTo(next) < 0) {
            next = targetOutbox.due;
        }
        if (subscriberOutbox.due != null && subscriberOutbox.due.compareTo(next) < 0) {
            next = subscriberOutbox.due;
        }
        return next;
    }

    /** Returns the datagrams to send now. */
    List<Datagram> dueDatagrams(Duration now) {
        List<Datagram> datagrams = new ArrayList<>();
        if (now.compareTo(nextEvidence) >= 0) {
            tellEvidence(now, datagrams);
        }
        if (now.compareTo(nextHeartbeat) >= 0) {
            sendHeartbeat(now, datagrams);
            return datagrams;
        }
        if (targetOutbox.due != null && now.compareTo(targetOutbox.due) >= 0) {
            reply(datagrams);
            flush(targetOutbox, routes.targets(), now, datagrams);
        }
        if (subscriberOutbox.due != null && now.compareTo(subscriberOutbox.due) >= 0) {
            flush(subscriberOutbox, routes.subscribers(), now, datagrams);
        }
        return datagrams;
    }

    private void tellEvidence(Duration now, List<Datagram> datagrams) {
        nextEvidence = now.plus(evidenceRepeats > 0 ? NEW_EVIDENCE_INTERVAL : EVIDENCE_INTERVAL);
        evidenceRepeats = Math.max(0, evidenceRepeats - 1);
        lastEvidence = now;
        // A relay takes a datagram that is not to be passed on for a sign that its sender is no subscriber.
        boolean passOn = !routes.relaying();
        CrashEvidence crashes = evidencePages.next(local.evidence());
        if (!crashes.isEmpty()) {
            sendToAll(LoadCodec.encodeEvidence(crashes, passOn), datagrams);
        }
        List<LimitStatus> limits = limitPages.next(local.limits());
        if (!limits.isEmpty()) {
            sendToAll(LoadCodec.encodeLimits(limits, passOn), datagrams);
        }
        List<LeavingRun> leaving = leavingPages.next(local.leavingRuns());
        if (!leaving.isEmpty()) {
            sendToAll(LoadCodec.encodeLeavingRuns(leaving, passOn), datagrams);
        }
    }

    private void sendToAll(byte[] bytes, List<Datagram> datagrams) {
        Set<HostPort> receivers = new LinkedHashSet<>(routes.targets());
        receivers.addAll(routes.subscribers());
        receivers.forEach(receiver -> datagrams.add(new Datagram(receiver, bytes)));
    }

    private void sendHeartbeat(Duration now, List<Datagram> datagrams) {
        nextHeartbeat = now.plus(heartbeatInterval());
        reply(datagrams);
        Map<ServerId, ServerLoad> loads = local.loads();
        List<HostPort> knownAddresses = routes.relaying() ? table.sampleLiveAddresses() : List.of();
        byte[] own = LoadCodec.encode(report(loads, knownAddresses, false));
        send(targetOutbox.reports.values(), own, routes.targets(), !routes.relaying(), datagrams);
        send(List.of(), own, table.probeCandidates(probeLimit()), false, datagrams);
        targetOutbox.lastSentLoads = loads;
        int before = datagrams.size();
        if (subscriberOutbox.due == null || now.compareTo(subscriberOutbox.due) >= 0) {
            send(subscriberOutbox.reports.values(), own, routes.subscribers(), false, datagrams);
            subscriberOutbox.lastSentLoads = loads;
            subscriberOutbox.sent(datagrams.size() - before, now);
        } else {
            subscriberOutbox.reports.put(self.instance(), own);
        }
        targetOutbox.sent(before, now);
    }

    private void reply(List<Datagram> datagrams) {
        if (!awaitingReply.isEmpty()) {
            byte[] own = LoadCodec.encode(report(local.loads(), table.sampleLiveAddresses(), false));
            send(List.of(), own, awaitingReply, false, datagrams);
            awaitingReply.clear();
        }
    }

    private int probeLimit() {
        if (routes.mesh()) {
            return PROBES_IN_MESH;
        }
        return routes.relaying() ? PROBES_BY_RELAY : 0;
    }

    private Duration heartbeatInterval() {
        if (routes.mesh()) {
            return MESH_HEARTBEAT_INTERVAL;
        }
        if (routes.relaying()) {
            return RELAY_HEARTBEAT_INTERVAL;
        }
        Duration scaled = MIN_HEARTBEAT_INTERVAL_TO_RELAY.plus(
                HEARTBEAT_INCREASE_PER_PEER.multipliedBy(Math.max(0, table.size() - MAX_PEERS_AT_MIN_INTERVAL)));
        return scaled.compareTo(MAX_HEARTBEAT_INTERVAL_TO_RELAY) > 0 ? MAX_HEARTBEAT_INTERVAL_TO_RELAY : scaled;
    }

    /** Returns whether this instance forwards the reports of others; false in a mesh. */
    private boolean isRelay() {
        return routes.relaying() && !routes.mesh();
    }

    private Duration relaySendInterval() {
        return max(
                MIN_RELAY_SEND_INTERVAL,
                SEND_INTERVAL_PER_RELAY.multipliedBy(routes.targets().size()));
    }

    private void flush(Outbox outbox, Collection<HostPort> receivers, Duration now, List<Datagram> datagrams) {
        byte[] own = null;
        boolean ownChanged = outbox.ownLoadChanged || outbox.ownUseChanged;
        Map<ServerId, ServerLoad> loads = ownChanged ? local.loads() : outbox.lastSentLoads;
        if (outbox.ownUseChanged || outbox.ownLoadChanged && !loads.equals(outbox.lastSentLoads)) {
            outbox.lastSentLoads = loads;
            own = LoadCodec.encode(report(loads, List.of(), false));
        }
        boolean nothingToSend = own == null && outbox.reports.isEmpty();
        if (!nothingToSend) {
            int before = datagrams.size();
            send(outbox.reports.values(), own, receivers, !routes.relaying(), datagrams);
            outbox.sent(datagrams.size() - before, now);
        } else {
            outbox.ownLoadChanged = false;
            outbox.due = null;
        }
    }

    /** Returns the datagrams that report to the peers that this instance is shutting down. */
    List<Datagram> leaveDatagrams() {
        List<Datagram> datagrams = new ArrayList<>();
        Set<HostPort> receivers = new LinkedHashSet<>(routes.targets());
        receivers.addAll(routes.subscribers());
        byte[] own = LoadCodec.encode(report(Map.of(), List.of(), true));
        send(List.of(), own, receivers, !routes.relaying(), datagrams);
        return datagrams;
    }

    private LoadReport report(Map<ServerId, ServerLoad> loads, List<HostPort> knownAddresses, boolean leaving) {
        return new LoadReport(
                self,
                ++sequence,
                loads,
                local.demands(),
                local.workspaceUses(),
                knownAddresses,
                local.storeVersions(),
                routes.relaying(),
                leaving);
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

    private Duration sendInterval() {
        return max(
                MIN_SEND_INTERVAL,
                SEND_INTERVAL_PER_PEER.multipliedBy(routes.targets().size()));
    }

    private Duration forwardInterval() {
        Duration bySize = TIME_PER_DATAGRAM.multipliedBy(routes.subscribers().size());
        Duration interval = max(max(MIN_FORWARD_INTERVAL, bySize), subscriberOutbox.rateDebt.minus(BURST_ALLOWANCE));
        return interval.compareTo(MAX_FORWARD_INTERVAL) > 0 ? MAX_FORWARD_INTERVAL : interval;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private static Duration earliestSend(Outbox outbox, Duration interval, Duration now) {
        return max(now, outbox.lastSent.plus(interval));
    }
}
