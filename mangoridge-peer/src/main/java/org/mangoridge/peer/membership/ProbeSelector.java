package org.mangoridge.peer.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.net.HostPort;

/**
 * Selects the targets of probes: alternately a successor on a hash ring of the own zone, which bounds the time to
 * detect a failure, and a random member, which spreads updates and covers ring neighbours that failed together.
 */
final class ProbeSelector {

    private static final int RING_SUCCESSORS = 2;
    private static final int PERIODS_PER_REMOTE_PROBE = 4;
    private static final int PERIODS_PER_CONTACT_PROBE = 8;

    private final RandomGenerator random;
    private long period;

    ProbeSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the addresses to probe in the next period.
     *
     * @param self this instance
     * @param ownZone the other live members of its zone
     * @param otherZones the live members of the other zones
     * @param contacts addresses where an instance may run that is not known to be live
     */
    Set<HostPort> nextTargets(Member self, List<Member> ownZone, List<Member> otherZones, List<HostPort> contacts) {
        Set<HostPort> targets = new LinkedHashSet<>();
        if (!ownZone.isEmpty()) {
            targets.add(
                    period % 2 == 0
                            ? ringSuccessor(self, ownZone)
                            : pick(ownZone).address());
        }
        if (!otherZones.isEmpty() && period % PERIODS_PER_REMOTE_PROBE == 0) {
            targets.add(pick(otherZones).address());
        }
        boolean noLivePeers = ownZone.isEmpty() && otherZones.isEmpty();
        if (!contacts.isEmpty() && (noLivePeers || period % PERIODS_PER_CONTACT_PROBE == 1)) {
            targets.add(contacts.get(random.nextInt(contacts.size())));
        }
        period++;
        return targets;
    }

    /** Returns at most {@code count} random members. */
    List<Member> sample(List<Member> members, int count) {
        List<Member> remaining = new ArrayList<>(members);
        List<Member> chosen = new ArrayList<>();
        while (!remaining.isEmpty() && chosen.size() < count) {
            chosen.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return chosen;
    }

    /** Returns true with the given probability. */
    boolean withProbability(double probability) {
        return random.nextDouble() < probability;
    }

    private Member pick(List<Member> members) {
        return members.get(random.nextInt(members.size()));
    }

    private HostPort ringSuccessor(Member self, List<Member> ownZone) {
        long selfHash = Rendezvous.hash(self.id().value());
        List<Member> ring = ownZone.stream()
                .sorted(Comparator.comparing(
                        member -> Rendezvous.hash(member.id().value()) - selfHash, Long::compareUnsigned))
                .toList();
        int offset = (int) (period / 2 % RING_SUCCESSORS);
        return ring.get(offset % ring.size()).address();
    }
}
