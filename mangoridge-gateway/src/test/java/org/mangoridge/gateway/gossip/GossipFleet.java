package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.LoadTracker;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.config.CallerLimits;
import org.mangoridge.dispatch.config.GatewayConfig;
import org.mangoridge.dispatch.directory.DirectoryTiming;
import org.mangoridge.dispatch.directory.LeavingRun;
import org.mangoridge.dispatch.directory.ServerDirectory;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.limit.LimitStatus;
import org.mangoridge.dispatch.limit.RateLimit;
import org.mangoridge.dispatch.limit.ServerRateLimiter;
import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quarantine.RequestParts;
import org.mangoridge.dispatch.quarantine.RequestQuarantine;
import org.mangoridge.dispatch.quota.FleetQuotas;
import org.mangoridge.dispatch.quota.WorkspaceUse;
import org.mangoridge.dispatch.request.TokenDemand;
import org.mangoridge.dispatch.workspace.Workspace;

/** Simulates a fleet of instances that gossip load reports, in virtual time over a simulated network. */
final class GossipFleet {

    static final ServerId SERVER = ServerId.of("s-1");
    private static final int PORT = 7000;
    /** Size of the IP and UDP headers. */
    private static final int HEADER_BYTES = 28;

    private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(400);

    private final SplittableRandom random;
    private final Map<HostPort, Member> members = new HashMap<>();
    private final List<Member> orderedMembers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private final Set<Member> stopped = new HashSet<>();
    private BiPredicate<Member, Member> partitioned = (from, to) -> false;
    private double lossRate;
    private Duration now = Duration.ofSeconds(1);
    private long nextEventNumber;
    private long sent;
    private long largestDatagram;

    private record Event(Duration at, long number, Runnable action) {}

    /** One instance of the fleet. */
    final class Member implements LocalState {
        final LoadReport.Origin origin;
        final PeerTable table;
        final LoadTracker loads = LoadTracker.create();
        final LoadGossip gossip;
        RequestQuarantine quarantine = RequestQuarantine.create();
        ServerRateLimiter limiter;
        final FleetQuotas quotas;
        final ServerDirectory directory = ServerDirectory.create(
                new DirectoryTiming(Duration.ofSeconds(3), Duration.ofSeconds(2), Duration.ofMillis(1200)));
        long datagrams;
        long bytesSent;
        long bytesReceived;
        private Duration scheduledFor;

        private Member(int index, int zones, List<HostPort> seeds) {
            HostPort address = new HostPort("10.0." + index / 200 + "." + (index % 200 + 1), PORT);
            origin = new LoadReport.Origin(
                    InstanceId.of("entry-" + index),
                    1,
                    address,
                    AvailabilityZone.of("zone-" + index % zones),
                    360 + index * 37 % 1000);
            table = PeerTable.create(address, seeds, random.split());
            limiter = ServerRateLimiter.create(origin.instance());
            quotas = FleetQuotas.create(new SplittableRandom(index));
            gossip = LoadGossip.create(origin, table, this);
            loads.onOwnChange(urgency -> {
                gossip.ownLoadChanged(urgency, now);
                scheduleTimer();
            });
        }

        @Override
        public Map<ServerId, ServerLoad> loads() {
            return loads.ownLoads();
        }

        @Override
        public Map<ServiceId, Integer> demands() {
            return limiter.demand(now);
        }

        @Override
        public List<WorkspaceUse> workspaceUses() {
            return quotas.told(now);
        }

        @Override
        public LoadReport.StoreVersions storeVersions() {
            return new LoadReport.StoreVersions(0, 1, 1);
        }

        @Override
        public CrashEvidence evidence() {
            return quarantine.evidence(now);
        }

        @Override
        public List<LimitStatus> limits() {
            return limiter.statuses(now);
        }

        @Override
        public List<LeavingRun> leavingRuns() {
            return directory.leavingRuns(now);
        }

        private void expirePeers() {
            if (!stopped.contains(this)) {
                gossip.expire(now).forEach(peer -> limiter.peerLost(peer, now));
                limiter.tick(now);
                quotas.tick(now);
                loads.expire(now);
                sendDue();
                after(EXPIRY_INTERVAL, this::expirePeers);
            }
        }

        private void sendDue() {
            if (stopped.contains(this)) {
                return;
            }
            scheduledFor = null;
            gossip.dueDatagrams(now).forEach(datagram -> transmit(this, datagram));
            scheduleTimer();
        }

        private void scheduleTimer() {
            Duration next = gossip.nextDue();
            if (scheduledFor == null || next.compareTo(scheduledFor) < 0) {
                scheduledFor = next;
                after(next.compareTo(now) < 0 ? Duration.ZERO : next.minus(now), this::sendDue);
            }
        }

        private void receive(byte[] bytes, HostPort from) {
            if (!stopped.contains(this)) {
                LoadGossip.Reception reception = gossip.receive(bytes, from, now);
                if (quarantine.merge(reception.evidence(), now) && gossip.passesEvidenceOn()) {
                    gossip.evidenceChanged(now);
                }
                if (!limiter.merge(reception.limits(), now).isEmpty() && gossip.passesEvidenceOn()) {
                    gossip.evidenceChanged(now);
                }
                boolean departure = false;
                for (LeavingRun leaving : reception.leavingRuns()) {
                    departure |= directory.announceLeaving(leaving.run(), leaving.age(), now);
                }
                if (departure && gossip.passesEvidenceOn()) {
                    gossip.evidenceChanged(now);
                }
                reception.reports().forEach(received -> apply(received.report()));
                scheduleTimer();
            }
        }

        private void apply(LoadReport report) {
            InstanceId peer = report.origin().instance();
            loads.replacePeerLoads(peer, report.loads(), now);
            if (report.leaving()) {
                limiter.peerLeft(peer);
                quotas.peerLeft(peer);
            } else {
                limiter.peerHeard(peer, report.demands());
                quotas.peerHeard(peer, report.origin().startedMillis(), report.uses(), now);
            }
        }

        /** Loses all that the instance knows of limits and demand, as a restart does. */
        void forgetLimits() {
            limiter = ServerRateLimiter.create(origin.instance());
        }

        /** Has an answer of a server. */
        void observeAnswer(ServerEntry server, Optional<RateLimit> announced, Duration sentAt) {
            if (limiter.recordAnswer(server, announced, sentAt, now)) {
                gossip.evidenceChanged(now);
                scheduleTimer();
            }
        }

        /** Has an answer in which a server says that it leaves. */
        void observeLeaving(ServerRun run) {
            if (directory.announceLeaving(run, Duration.ZERO, now)) {
                gossip.evidenceChanged(now);
                scheduleTimer();
            }
        }

        /** Observes that a server crashed under a prompt. */
        void observeCrash(int server, RequestParts prompt) {
            quarantine.recordCrash(new ServerRun(ServerId.of("s-" + server), 1), List.of(prompt), now);
            gossip.evidenceChanged(now);
            scheduleTimer();
        }

        /** Adopts a configuration with one workspace. */
        void configure(Workspace workspace) {
            quotas.configure(
                    GatewayConfig.of(1, List.of(), List.of(), CallerLimits.DEFAULT, Optional.of(List.of(workspace))));
        }

        /** Is asked for tokens of a workspace, as by a request that is refused. */
        void ask(Workspace workspace, int tokens) {
            quotas.ask(workspace, new TokenDemand(tokens, 0, 0), 0, now);
            gossip.ownUseChanged(now);
            scheduleTimer();
        }

        /** Reserves {@code tokens} of KV cache at the server. */
        void reserve(int tokens) {
            loads.add(SERVER, new ServerLoad(1, 0, tokens, 0));
        }

        long knownTokens() {
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
            orderedMembers.add(member);
            after(Duration.ofMillis(random.nextInt(300)), member::expirePeers);
        }
    }

    /** Returns a fleet whose instances start within the next 300 ms. */
    static GossipFleet create(int size, int zones, long seed) {
        return new GossipFleet(size, zones, seed);
    }

    Duration now() {
        return now;
    }

    /** Runs an action at a later virtual time. */
    void after(Duration delay, Runnable action) {
        events.add(new Event(now.plus(delay), nextEventNumber++, action));
    }

    private void transmit(Member from, LoadGossip.Datagram datagram) {
        sent++;
        from.datagrams++;
        from.bytesSent += datagram.bytes().length + HEADER_BYTES;
        largestDatagram = Math.max(largestDatagram, datagram.bytes().length);
        Member to = members.get(datagram.to());
        if (to == null || partitioned.test(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        to.bytesReceived += datagram.bytes().length + HEADER_BYTES;
        after(NETWORK_DELAY, () -> to.receive(datagram.bytes(), from.origin.address()));
    }

    /** Advances the virtual time and runs the events that become due. */
    void run(Duration time) {
        Duration end = now.plus(time);
        while (!events.isEmpty() && events.peek().at().compareTo(end) <= 0) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    /** Lets {@code changes} random instances a second reserve capacity and release it after 700 ms. */
    void generateLoad(int changes, Duration time) {
        Duration step = Duration.ofSeconds(1).dividedBy(changes);
        for (Duration at = Duration.ZERO; at.compareTo(time) < 0; at = at.plus(step)) {
            Member member = orderedMembers.get(random.nextInt(orderedMembers.size()));
            after(at, () -> member.reserve(1));
            after(at.plusMillis(700), () -> member.loads.subtract(SERVER, new ServerLoad(1, 0, 1, 0)));
        }
        run(time);
    }

    /** Sets the fraction of datagrams that are dropped. */
    void setLossRate(double share) {
        lossRate = share;
    }

    /** Drops the datagrams between pairs of sender and receiver that match. */
    void partition(BiPredicate<Member, Member> dropped) {
        partitioned = dropped;
    }

    void kill(Member member) {
        stopped.add(member);
    }

    List<Member> members() {
        return orderedMembers.stream()
                .filter(member -> !stopped.contains(member))
                .toList();
    }

    /** Returns the running instances that are known as relays. */
    List<Member> relays() {
        Set<HostPort> relays = new HashSet<>();
        for (Member member : members()) {
            member.table.peers().stream().filter(PeerTable.Peer::relaying).forEach(peer -> relays.add(peer.address()));
        }
        return members().stream()
                .filter(member -> relays.contains(member.origin.address()))
                .toList();
    }

    /** Returns the number of datagrams sent since the last call and resets all counters. */
    long resetSentCount() {
        long count = sent;
        sent = 0;
        for (Member member : orderedMembers) {
            member.datagrams = 0;
            member.bytesSent = 0;
            member.bytesReceived = 0;
        }
        return count;
    }

    long largestDatagramBytes() {
        return largestDatagram;
    }
}
