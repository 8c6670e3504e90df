package org.mangoridge.peer.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;

/**
 * Maintains one instance's view of all instances, as a state machine that is used by a single thread.
 *
 * <p>An instance that fails to answer a probe is suspected, and believed dead if it does not refute the suspicion in
 * time. It refutes by raising its heartbeat, which also works after it was believed dead. A record of a later
 * incarnation replaces every earlier one.
 */
public final class Membership {

    private static final int MAX_CONTACTS = 64;
    private static final int IMMEDIATE_GOSSIP_FANOUT = 2;
    private static final double EXPECTED_SUSPICION_CHECKS = 4;
    private static final Duration FULL_EXCHANGE_INTERVAL = Duration.ofSeconds(10);
    private static final int MIN_PEERS_FOR_ISOLATION = 2;
    private static final Duration ISOLATION_TIMEOUT = Duration.ofSeconds(2);

    private final MembershipTiming timing;
    private final ProbeSelector probes;
    private final List<HostPort> seeds;
    private final MemberTable table;
    private final UpdateQueue updates = new UpdateQueue();
    private final Set<HostPort> probing = new HashSet<>();
    private final Map<InstanceId, HostPort> listed = new LinkedHashMap<>();
    private final List<MembershipAction> actions = new ArrayList<>();
    private MemberRecord self;
    private Map<ServerId, Integer> inFlight = Map.of();
    private Duration nextFullExchange = Duration.ZERO;
    private HostPort fullExchangeTarget;
    private Duration lastMessageAt = Duration.ZERO;
    /** Whether the last failed probe timed out instead of being refused; false again once a message is received. */
    private boolean lastProbeTimedOut;

    private Membership(MembershipTiming timing, Member self, List<HostPort> seeds, RandomGenerator random) {
        this.timing = timing;
        this.self = new MemberRecord(self, 0, Liveness.ALIVE);
        this.seeds = List.copyOf(seeds);
        this.table = new MemberTable(self.zone());
        this.probes = new ProbeSelector(random);
    }

    /**
     * Returns the membership of an instance that knows only itself.
     *
     * @param seeds addresses to contact first; the own address is ignored
     */
    public static Membership create(
            MembershipTiming timing, Member self, List<HostPort> seeds, RandomGenerator random) {
        Checks.notNull(timing, "timing");
        return new Membership(timing, Checks.notNull(self, "self"), seeds, Checks.notNull(random, "random"));
    }

    /**
     * Handles an event and returns the resulting actions in order.
     *
     * @param now the monotonic time, not before that of the last call
     */
    public List<MembershipAction> on(MembershipEvent event, Duration now) {
        switch (event) {
            case MembershipEvent.Tick tick -> tick(now);
            case MembershipEvent.Received received -> {
                merge(received.message(), now);
                boolean full = received.message().full();
                actions.add(new MembershipAction.Answer(
                        message(received.message().sender().id(), full)));
            }
            case MembershipEvent.ProbeAnswered answered -> probeAnswered(answered, now);
            case MembershipEvent.ProbeFailed failed -> probeFailed(failed, now);
            case MembershipEvent.Listed list -> {
                listed.clear();
                list.peers().stream().limit(MAX_CONTACTS).forEach(peer -> listed.put(peer.id(), peer.address()));
            }
            case MembershipEvent.StateChanged changed -> {
                incrementHeartbeat(self.member().withState(changed.state()));
                gossipImmediately(now);
            }
            case MembershipEvent.ConfigAdopted adopted ->
                self = new MemberRecord(
                        self.member().withGeneration(adopted.generation()), self.heartbeat(), Liveness.ALIVE);
            case MembershipEvent.InFlightCounted counted -> inFlight = counted.inFlight();
        }
        List<MembershipAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    /** Returns the current view. */
    public PeerView view(Duration now) {
        boolean hasSeveralPeers = table.size() >= MIN_PEERS_FOR_ISOLATION;
        boolean isolated =
                hasSeveralPeers && lastProbeTimedOut && now.minus(lastMessageAt).compareTo(ISOLATION_TIMEOUT) > 0;
        return new PeerView(self.member(), table.records(), isolated);
    }

    private void tick(Duration now) {
        for (MemberTable.Entry entry : table.entries()) {
            expire(entry, now);
        }
        Set<HostPort> targets = probes.nextTargets(self.member(), table.ownZone(), table.otherZones(), contacts());
        if (fullExchangeTarget != null) {
            targets.add(fullExchangeTarget);
        }
        targets.forEach(address -> probe(address, now));
    }

    /** Declares a member dead when its suspicion times out, and removes one that has been gone for long. */
    private void expire(MemberTable.Entry entry, Duration now) {
        MemberRecord record = entry.record();
        Duration age = now.minus(entry.since());
        if (record.liveness() == Liveness.SUSPECT && age.compareTo(suspicionTimeout(record.member())) >= 0) {
            applyRecord(record.withLiveness(Liveness.DEAD), now);
        } else if (!record.isLive() && age.compareTo(timing.deadMemberRetention()) >= 0) {
            table.remove(record.id());
            updates.remove(record.id());
        }
    }

    private Duration suspicionTimeout(Member member) {
        return isInOwnZone(member) ? timing.suspicionTimeout() : timing.remoteSuspicionTimeout();
    }

    private void probeAnswered(MembershipEvent.ProbeAnswered answered, Duration now) {
        probing.remove(answered.address());
        Member sender = answered.message().sender().member();
        for (MemberRecord previous : table.liveAt(answered.address())) {
            if (!previous.id().equals(sender.id())) {
                applyRecord(previous.withLiveness(Liveness.DEAD), now, GoneReason.REPLACED);
            }
        }
        merge(answered.message(), now);
        boolean viewsDiffer = answered.message().viewHash() != table.viewHash(self.member());
        if (viewsDiffer && now.compareTo(nextFullExchange) >= 0) {
            fullExchangeTarget = answered.address();
        }
    }

    private void probeFailed(MembershipEvent.ProbeFailed failed, Duration now) {
        probing.remove(failed.address());
        lastProbeTimedOut = !failed.refused();
        for (MemberRecord record : table.liveAt(failed.address())) {
            if (record.liveness() == Liveness.ALIVE) {
                applyRecord(record.withLiveness(Liveness.SUSPECT), now);
            }
        }
    }

    private void probe(HostPort address, Duration now) {
        if (address.equals(self.member().address()) || !probing.add(address)) {
            return;
        }
        boolean firstExchange = table.size() == 0 && now.compareTo(nextFullExchange) >= 0;
        boolean full = firstExchange || address.equals(fullExchangeTarget);
        if (full) {
            fullExchangeTarget = null;
            nextFullExchange = firstExchange ? now.plus(timing.probeInterval()) : now.plus(FULL_EXCHANGE_INTERVAL);
        }
        InstanceId target =
                table.liveAt(address).stream().findFirst().map(MemberRecord::id).orElse(null);
        actions.add(new MembershipAction.Probe(address, message(target, full)));
    }

    private GossipMessage message(InstanceId target, boolean full) {
        List<MemberRecord> known = full ? table.records() : updatesFor(target);
        return new GossipMessage(self, known, inFlight, table.viewHash(self.member()), full);
    }

    private List<MemberRecord> updatesFor(InstanceId target) {
        Set<InstanceId> ids = new LinkedHashSet<>(updates.nextBatch(table.size() + 1));
        if (target != null) {
            table.find(target)
                    .filter(record -> record.liveness() != Liveness.ALIVE)
                    .ifPresent(record -> ids.add(target));
        }
        return ids.stream().flatMap(id -> table.find(id).stream()).toList();
    }

    private void merge(GossipMessage message, Duration now) {
        lastMessageAt = now;
        lastProbeTimedOut = false;
        mergeRecord(message.sender(), now);
        for (MemberRecord record : message.known()) {
            boolean unknown = table.find(record.id()).isEmpty();
            mergeRecord(record, now);
            if (unknown && message.full()) {
                updates.remove(record.id());
            }
        }
        if (!message.sender().id().equals(self.id())) {
            actions.add(new MembershipAction.InFlightReported(message.sender().id(), message.inFlight()));
        }
    }

    private void mergeRecord(MemberRecord received, Duration now) {
        if (received.id().equals(self.id())) {
            mergeOwnRecord(received);
            return;
        }
        Optional<MemberRecord> known = table.find(received.id());
        if (known.isEmpty() && !received.isLive()) {
            return;
        }
        if (known.isEmpty() || received.isNewerThan(known.get())) {
            applyRecord(received, now);
        } else if (received.member().generation().isAfter(known.get().member().generation())) {
            MemberRecord current = known.get();
            Member member = current.member().withGeneration(received.member().generation());
            table.put(new MemberRecord(member, current.heartbeat(), current.liveness()), now);
        }
    }

    private void mergeOwnRecord(MemberRecord received) {
        int order = received.member().incarnation().compareTo(self.member().incarnation());
        if (order > 0) {
            actions.add(new MembershipAction.Superseded(received.member().owner()));
        } else if (order == 0 && received.liveness() != Liveness.ALIVE && received.heartbeat() >= self.heartbeat()) {
            self = new MemberRecord(self.member(), received.heartbeat(), Liveness.ALIVE);
            incrementHeartbeat(self.member());
        }
    }

    /** Increments the own heartbeat, so that the record supersedes every earlier one. */
    private void incrementHeartbeat(Member member) {
        self = new MemberRecord(member, self.heartbeat() + 1, Liveness.ALIVE);
    }

    private void applyRecord(MemberRecord next, Duration now) {
        applyRecord(next, now, next.liveness() == Liveness.DEAD ? GoneReason.DEAD : GoneReason.STOPPED);
    }

    private void applyRecord(MemberRecord next, Duration now, GoneReason reason) {
        if (!table.hasCapacityFor(next.id())) {
            return;
        }
        Optional<MemberRecord> previous = table.find(next.id());
        table.put(next, now);
        updates.add(next.id());
        boolean wasLive = previous.map(MemberRecord::isLive).orElse(false);
        boolean laterRun = previous.isPresent()
                && next.member().incarnation().isAfter(previous.get().member().incarnation());
        if (laterRun) {
            actions.add(new MembershipAction.Gone(previous.get().member().owner(), GoneReason.REPLACED));
        }
        if (next.isLive() && (!wasLive || laterRun)) {
            actions.add(new MembershipAction.Joined(next.member()));
        } else if (!next.isLive() && wasLive && !laterRun) {
            actions.add(new MembershipAction.Gone(next.member().owner(), reason));
        } else if (next.liveness() == Liveness.SUSPECT) {
            actions.add(new MembershipAction.Suspected(next.member().owner()));
            probeSuspect(next.member(), now);
        }
        if (previous.isPresent() && previous.get().liveness() != next.liveness()) {
            gossipImmediately(now);
        }
    }

    /** Gossips a change without waiting for the next probe interval, so that a suspected member can refute in time. */
    private void gossipImmediately(Duration now) {
        probes.sample(table.ownZone(), IMMEDIATE_GOSSIP_FANOUT).forEach(member -> probe(member.address(), now));
    }

    /**
     * Probes a suspected member with a probability at which a few members of the zone do so, which gives the member an
     * early chance to refute.
     */
    private void probeSuspect(Member suspect, Duration now) {
        List<Member> ownZone = table.ownZone();
        if (isInOwnZone(suspect) && probes.withProbability(EXPECTED_SUSPICION_CHECKS / Math.max(1, ownZone.size()))) {
            probe(suspect.address(), now);
        }
    }

    private boolean isInOwnZone(Member member) {
        return member.zone().equals(self.member().zone());
    }

    /**
     * Returns the addresses where an instance may run that is not known to be live. Probing them joins the sides of a
     * network partition again once it heals.
     */
    private List<HostPort> contacts() {
        Set<HostPort> addresses = new LinkedHashSet<>(seeds);
        addresses.addAll(listed.values());
        table.records().stream()
                .filter(record -> record.liveness() == Liveness.DEAD)
                .limit(MAX_CONTACTS)
                .forEach(record -> addresses.add(record.member().address()));
        addresses.remove(self.member().address());
        addresses.removeIf(address -> !table.liveAt(address).isEmpty());
        return List.copyOf(addresses);
    }
}
