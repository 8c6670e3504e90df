package org.mangoridge.peer.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.net.HostPort;

/**
 * Chooses whom to probe: in turn the next neighbours on a ring of the own zone, which bounds how long a death goes
 * unseen, and random members, which spread news and stand in for neighbours that died together.
 */
final class ProbePlan {

    private static final int RING_NEIGHBOURS = 2;
    private static final int PERIODS_PER_FAR_PROBE = 4;
    private static final int PERIODS_PER_CONTACT = 8;

    private final RandomGenerator random;
    private long period;

    ProbePlan(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the addresses of one period.
     *
     * @param self this instance
     * @param near the working members of its zone
     * @param far the working members of the other zones
     * @param contacts addresses where an instance may be that is not known to work
     */
    Set<HostPort> next(Member self, List<Member> near, List<Member> far, List<HostPort> contacts) {
        Set<HostPort> targets = new LinkedHashSet<>();
        if (!near.isEmpty()) {
            targets.add(period % 2 == 0 ? neighbour(self, near) : pick(near).address());
        }
        if (!far.isEmpty() && period % PERIODS_PER_FAR_PROBE == 0) {
            targets.add(pick(far).address());
        }
        boolean alone = near.isEmpty() && far.isEmpty();
        if (!contacts.isEmpty() && (alone || period % PERIODS_PER_CONTACT == 1)) {
            targets.add(contacts.get(random.nextInt(contacts.size())));
        }
        period++;
        return targets;
    }

    /** Returns at most {@code count} random members. */
    List<Member> some(List<Member> members, int count) {
        List<Member> left = new ArrayList<>(members);
        List<Member> chosen = new ArrayList<>();
        while (!left.isEmpty() && chosen.size() < count) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }

    /** Decides once with the given probability. */
    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private Member pick(List<Member> members) {
        return members.get(random.nextInt(members.size()));
    }

    private HostPort neighbour(Member self, List<Member> near) {
        long own = Rendezvous.hash(self.id().value());
        List<Member> ring = near.stream()
                .sorted(Comparator.comparing(
                        member -> Rendezvous.hash(member.id().value()) - own, Long::compareUnsigned))
                .toList();
        int turn = (int) (period / 2 % RING_NEIGHBOURS);
        return ring.get(turn % ring.size()).address();
    }
}
