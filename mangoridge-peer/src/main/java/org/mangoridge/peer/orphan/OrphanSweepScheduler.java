package org.mangoridge.peer.orphan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.PeerView;
import org.mangoridge.peer.membership.Rendezvous;

/**
 * Decides which servers this instance sweeps for the work of instances that are gone, as a state machine used by one
 * thread.
 *
 * <p>For each server the survivors of its zone are ranked alike; the first sweeps at once, two others as back-up after
 * a delay. Their views may differ: a sweep done twice is harmless. Earlier runs of an instance are swept by itself too,
 * at every server, since all may have been replaced at once.
 */
public final class OrphanSweepScheduler {

    private static final int SWEEPERS_OF_A_SERVER = 3;
    private static final int SWEEPS = 3;
    private static final int MAX_SWEEPS_AT_ONCE = 32;
    private static final Duration BACKUP_DELAY = Duration.ofSeconds(2);
    private static final Duration SWEEP_AGAIN = Duration.ofSeconds(3);
    private static final Duration RETRY = Duration.ofSeconds(1);
    private static final Duration GIVE_UP = Duration.ofMinutes(5);

    /** Runs of one instance that are gone. */
    private static final class Case {

        private final Owner upTo;
        private final Duration since;
        private final Map<ServerId, Progress> progress = new HashMap<>();

        private Case(Owner upTo, Duration since) {
            this.upTo = upTo;
            this.since = since;
        }
    }

    /** How far the sweeps of one server came. */
    private record Progress(int complete, Duration nextAt, boolean running) {}

    private final Map<InstanceId, Case> cases = new TreeMap<>();
    private List<Member> rankedMembers = List.of();
    private List<SweepTarget> rankedServers = List.of();
    private Map<ServerId, Integer> ranks = Map.of();
    private int running;

    private OrphanSweepScheduler() {}

    /** Returns a watch that knows of nobody gone. */
    public static OrphanSweepScheduler create() {
        return new OrphanSweepScheduler();
    }

    /**
     * Takes an event and returns the sweeps to begin.
     *
     * @param now the monotonic time, never less than at the last call
     */
    public List<OrphanEvent.Sweep> on(OrphanEvent event, Duration now) {
        return switch (event) {
            case OrphanEvent.Gone gone -> {
                open(gone.owner(), now);
                yield List.of();
            }
            case OrphanEvent.Returned returned -> {
                close(returned.owner());
                yield List.of();
            }
            case OrphanEvent.SweepEnded swept -> {
                ended(swept, now);
                yield List.of();
            }
            case OrphanEvent.Tick tick -> due(tick, now);
        };
    }

    private void open(Owner owner, Duration now) {
        Case open = cases.get(owner.instance());
        if (open == null || !open.upTo.incarnation().isAfter(owner.incarnation())) {
            cases.put(owner.instance(), new Case(owner, now));
        }
    }

    private void close(Owner owner) {
        Case open = cases.get(owner.instance());
        if (open != null && open.upTo.equals(owner)) {
            cases.remove(owner.instance());
        }
    }

    private void ended(OrphanEvent.SweepEnded swept, Duration now) {
        running--;
        Case open = cases.get(swept.sweep().upTo().instance());
        if (open == null || !open.upTo.equals(swept.sweep().upTo())) {
            return;
        }
        open.progress.computeIfPresent(
                swept.sweep().server(),
                (server, before) -> swept.complete()
                        ? new Progress(before.complete() + 1, now.plus(SWEEP_AGAIN), false)
                        : new Progress(before.complete(), now.plus(RETRY), false));
    }

    private List<OrphanEvent.Sweep> due(OrphanEvent.Tick tick, Duration now) {
        cases.values().removeIf(open -> now.minus(open.since).compareTo(GIVE_UP) > 0);
        if (cases.isEmpty() || tick.view().isolated()) {
            return List.of();
        }
        rank(tick.view(), tick.servers());
        List<OrphanEvent.Sweep> sweeps = new ArrayList<>();
        for (Case open : cases.values()) {
            boolean own = open.upTo.instance().equals(tick.view().self().id());
            (own ? allFirst() : ranks).forEach((server, rank) -> {
                if (running < MAX_SWEEPS_AT_ONCE && isDue(open, server, rank, now)) {
                    running++;
                    int complete = open.progress.get(server).complete();
                    open.progress.put(server, new Progress(complete, now, true));
                    sweeps.add(new OrphanEvent.Sweep(server, open.upTo));
                }
            });
        }
        return sweeps;
    }

    private static boolean isDue(Case open, ServerId server, int rank, Duration now) {
        Duration first = open.since.plus(BACKUP_DELAY.multipliedBy(rank));
        Progress progress = open.progress.computeIfAbsent(server, id -> new Progress(0, first, false));
        return !progress.running()
                && progress.complete() < SWEEPS
                && now.compareTo(progress.nextAt()) >= 0
                && now.compareTo(first) >= 0;
    }

    /** Returns every server with the first rank: none else may know of an earlier run of this very instance. */
    private Map<ServerId, Integer> allFirst() {
        return rankedServers.stream().collect(Collectors.toMap(SweepTarget::id, server -> 0));
    }

    /** Finds the servers that this instance is among the sweepers of; done again only when members or servers change. */
    private void rank(PeerView view, List<SweepTarget> servers) {
        List<Member> live = view.live();
        if (live.equals(rankedMembers) && servers.equals(rankedServers)) {
            return;
        }
        rankedMembers = live;
        rankedServers = servers;
        ranks = new TreeMap<>();
        for (SweepTarget server : servers) {
            List<InstanceId> zone =
                    view.liveIn(server.zone()).stream().map(Member::id).toList();
            List<InstanceId> survivors =
                    zone.isEmpty() ? live.stream().map(Member::id).toList() : zone;
            int rank = Rendezvous.rank(server.id().value(), survivors)
                    .indexOf(view.self().id());
            if (rank >= 0 && rank < SWEEPERS_OF_A_SERVER) {
                ranks.put(server.id(), rank);
            }
        }
    }
}
