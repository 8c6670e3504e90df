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
 * Keeps one instance's view of all instances, as a state machine used by one thread.
 *
 * <p>An instance that fails to answer a probe is suspected, and believed dead when it has not contradicted in time. It
 * contradicts, at any later time too, by raising its heartbeat. A record of a later incarnation replaces any earlier.
 */
public final class Membership {

    private static final int MAX_CONTACTS = 64;
    private static final int TOLD_AT_ONCE = 2;
    private static final double CHECKS_OF_SUSPICION = 4;
    private static final Duration FULL_EXCHANGE_INTERVAL = Duration.ofSeconds(10);
    private static final int FEW_PEERS = 2;
    private static final Duration ISOLATION_SILENCE = Duration.ofSeconds(2);

    private final MembershipTiming timing;
    private final ProbePlan plan;
    private final List<HostPort> seeds;
    private final MemberTable table;
    private final News news = new News();
    private final Set<HostPort> probing = new HashSet<>();
    private final Map<InstanceId, HostPort> listed = new LinkedHashMap<>();
    private final List<MembershipAction> actions = new ArrayList<>();
    private MemberRecord self;
    private Map<ServerId, Integer> inFlight = Map.of();
    private Duration nextFull = Duration.ZERO;
    private HostPort fullWith;
    private Duration lastHeard = Duration.ZERO;
    private boolean silentLately;

    private Membership(MembershipTiming timing, Member self, List<HostPort> seeds, RandomGenerator random) {
        this.timing = timing;
        this.self = new MemberRecord(self, 0, Liveness.ALIVE);
        this.seeds = List.copyOf(seeds);
        this.table = new MemberTable(self.zone());
        this.plan = new ProbePlan(random);
    }

    /**
     * Returns the state of an instance that knows only itself.
     *
     * @param seeds addresses to ask first; its own is passed over
     */
    public static Membership create(
            MembershipTiming timing, Member self, List<HostPort> seeds, RandomGenerator random) {
        Checks.notNull(timing, "timing");
        return new Membership(timing, Checks.notNull(self, "self"), seeds, Checks.notNull(random, "random"));
    }

    /**
     * Takes an event and returns what to do, in order.
     *
     * @param now the monotonic time, never less than at the last call
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
            case MembershipEvent.ProbeAnswered answered -> answered(answered, now);
            case MembershipEvent.ProbeFailed failed -> failed(failed, now);
            case MembershipEvent.Listed list -> {
                listed.clear();
                list.peers().stream().limit(MAX_CONTACTS).forEach(peer -> listed.put(peer.id(), peer.address()));
            }
            case MembershipEvent.StateChanged changed -> {
                renew(self.member().withState(changed.state()));
                tellAtOnce(now);
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

    /** Returns what is known now. */
    public PeerView view(Duration now) {
        boolean several = table.size() >= FEW_PEERS;
        boolean isolated = several && silentLately && now.minus(lastHeard).compareTo(ISOLATION_SILENCE) > 0;
        return new PeerView(self.member(), table.sightings(), isolated);
    }

    private void tick(Duration now) {
        for (MemberTable.Entry entry : table.entries()) {
            age(entry, now);
        }
        Set<HostPort> targets = plan.next(self.member(), table.near(), table.far(), contacts());
        if (fullWith != null) {
            targets.add(fullWith);
        }
        targets.forEach(address -> probe(address, now));
    }

    private void age(MemberTable.Entry entry, Duration now) {
        MemberRecord sighting = entry.sighting();
        Duration age = now.minus(entry.since());
        if (sighting.liveness() == Liveness.SUSPECT && age.compareTo(suspicion(sighting.member())) >= 0) {
            adopt(sighting.withLiveness(Liveness.DEAD), now);
        } else if (!sighting.isLive() && age.compareTo(timing.deadMemberRetention()) >= 0) {
            table.remove(sighting.id());
            news.forget(sighting.id());
        }
    }

    private Duration suspicion(Member member) {
        return isNear(member) ? timing.suspicionTimeout() : timing.remoteSuspicionTimeout();
    }

    private void answered(MembershipEvent.ProbeAnswered answered, Duration now) {
        probing.remove(answered.address());
        Member sender = answered.message().sender().member();
        for (MemberRecord former : table.workingAt(answered.address())) {
            if (!former.id().equals(sender.id())) {
                adopt(former.withLiveness(Liveness.DEAD), now, GoneReason.REPLACED);
            }
        }
        merge(answered.message(), now);
        boolean differs = answered.message().viewHash() != table.hash(self.member());
        if (differs && now.compareTo(nextFull) >= 0) {
            fullWith = answered.address();
        }
    }

    private void failed(MembershipEvent.ProbeFailed failed, Duration now) {
        probing.remove(failed.address());
        silentLately = !failed.refused();
        for (MemberRecord sighting : table.workingAt(failed.address())) {
            if (sighting.liveness() == Liveness.ALIVE) {
                adopt(sighting.withLiveness(Liveness.SUSPECT), now);
            }
        }
    }

    private void probe(HostPort address, Duration now) {
        if (address.equals(self.member().address()) || !probing.add(address)) {
            return;
        }
        boolean first = table.size() == 0 && now.compareTo(nextFull) >= 0;
        boolean full = first || address.equals(fullWith);
        if (full) {
            fullWith = null;
            nextFull = first ? now.plus(timing.probeInterval()) : now.plus(FULL_EXCHANGE_INTERVAL);
        }
        InstanceId target = table.workingAt(address).stream()
                .findFirst()
                .map(MemberRecord::id)
                .orElse(null);
        actions.add(new MembershipAction.Probe(address, message(target, full)));
    }

    private GossipMessage message(InstanceId target, boolean full) {
        List<MemberRecord> known = full ? table.sightings() : changes(target);
        return new GossipMessage(self, known, inFlight, table.hash(self.member()), full);
    }

    private List<MemberRecord> changes(InstanceId target) {
        Set<InstanceId> ids = new LinkedHashSet<>(news.take(table.size() + 1));
        if (target != null) {
            table.find(target)
                    .filter(sighting -> sighting.liveness() != Liveness.ALIVE)
                    .ifPresent(sighting -> ids.add(target));
        }
        return ids.stream().flatMap(id -> table.find(id).stream()).toList();
    }

    private void merge(GossipMessage message, Duration now) {
        lastHeard = now;
        silentLately = false;
        learn(message.sender(), now);
        for (MemberRecord sighting : message.known()) {
            boolean unknown = table.find(sighting.id()).isEmpty();
            learn(sighting, now);
            if (unknown && message.full()) {
                news.forget(sighting.id());
            }
        }
        if (!message.sender().id().equals(self.id())) {
            actions.add(new MembershipAction.InFlightReported(message.sender().id(), message.inFlight()));
        }
    }

    private void learn(MemberRecord news, Duration now) {
        if (news.id().equals(self.id())) {
            hearOfSelf(news);
            return;
        }
        Optional<MemberRecord> known = table.find(news.id());
        if (known.isEmpty() && !news.isLive()) {
            return;
        }
        if (known.isEmpty() || news.isNewerThan(known.get())) {
            adopt(news, now);
        } else if (news.member().generation().isAfter(known.get().member().generation())) {
            MemberRecord current = known.get();
            Member member = current.member().withGeneration(news.member().generation());
            table.put(new MemberRecord(member, current.heartbeat(), current.liveness()), now);
        }
    }

    private void hearOfSelf(MemberRecord news) {
        int order = news.member().incarnation().compareTo(self.member().incarnation());
        if (order > 0) {
            actions.add(new MembershipAction.Superseded(news.member().owner()));
        } else if (order == 0 && news.liveness() != Liveness.ALIVE && news.heartbeat() >= self.heartbeat()) {
            self = new MemberRecord(self.member(), news.heartbeat(), Liveness.ALIVE);
            renew(self.member());
        }
    }

    /** Raises the own heartbeat, so that the record outweighs every earlier belief. */
    private void renew(Member member) {
        self = new MemberRecord(member, self.heartbeat() + 1, Liveness.ALIVE);
    }

    private void adopt(MemberRecord next, Duration now) {
        adopt(next, now, next.liveness() == Liveness.DEAD ? GoneReason.DEAD : GoneReason.STOPPED);
    }

    private void adopt(MemberRecord next, Duration now, GoneReason reason) {
        if (!table.hasRoomFor(next.id())) {
            return;
        }
        Optional<MemberRecord> before = table.find(next.id());
        table.put(next, now);
        news.add(next.id());
        boolean worked = before.map(MemberRecord::isLive).orElse(false);
        boolean laterRun = before.isPresent()
                && next.member().incarnation().isAfter(before.get().member().incarnation());
        if (laterRun) {
            actions.add(new MembershipAction.Gone(before.get().member().owner(), GoneReason.REPLACED));
        }
        if (next.isLive() && (!worked || laterRun)) {
            actions.add(new MembershipAction.Joined(next.member()));
        } else if (!next.isLive() && worked && !laterRun) {
            actions.add(new MembershipAction.Gone(next.member().owner(), reason));
        } else if (next.liveness() == Liveness.SUSPECT) {
            actions.add(new MembershipAction.Suspected(next.member().owner()));
            checkSuspicion(next.member(), now);
        }
        if (before.isPresent() && before.get().liveness() != next.liveness()) {
            tellAtOnce(now);
        }
    }

    /** Passes a change of liveness on without waiting for the next period, so that a contradiction comes in time. */
    private void tellAtOnce(Duration now) {
        plan.some(table.near(), TOLD_AT_ONCE).forEach(member -> probe(member.address(), now));
    }

    /** A few of those that hear of a suspicion ask the suspect themselves, which lets it contradict soon. */
    private void checkSuspicion(Member suspect, Duration now) {
        List<Member> near = table.near();
        if (isNear(suspect) && plan.chance(CHECKS_OF_SUSPICION / Math.max(1, near.size()))) {
            probe(suspect.address(), now);
        }
    }

    private boolean isNear(Member member) {
        return member.zone().equals(self.member().zone());
    }

    /** Returns the addresses where an instance may be that is not known to work: how cut-off sides meet again. */
    private List<HostPort> contacts() {
        Set<HostPort> addresses = new LinkedHashSet<>(seeds);
        addresses.addAll(listed.values());
        table.sightings().stream()
                .filter(sighting -> sighting.liveness() == Liveness.DEAD)
                .limit(MAX_CONTACTS)
                .forEach(sighting -> addresses.add(sighting.member().address()));
        addresses.remove(self.member().address());
        addresses.removeIf(address -> !table.workingAt(address).isEmpty());
        return List.copyOf(addresses);
    }
}
