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
 * Schedules the sweeps by which this instance cancels, at backend servers, attempts of instances that are gone. It is a
 * state machine that is used by a single thread.
 *
 * <p>For each server, every instance computes the same ranking of the live instances of the server's zone. The first
 * one sweeps at once, the next two as backups after a delay. Views may differ between instances, so a server may be
 * swept twice, which is harmless. An instance also sweeps every server for its own earlier runs: if all instances were
 * replaced at once, no other instance knows of them.
 */
public final class OrphanSweepScheduler {

    private static final int SWEEPERS_PER_SERVER = 3;
    /** Complete sweeps of a server for each run that is gone. */
    private static final int SWEEPS_PER_SERVER = 3;

    private static final int MAX_CONCURRENT_SWEEPS = 32;
    private static final Duration BACKUP_DELAY = Duration.ofSeconds(2);
    /** Delay after a complete sweep; after a failed one it is {@link #RETRY_DELAY}. */
    private static final Duration REPEAT_DELAY = Duration.ofSeconds(3);

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_CASE_AGE = Duration.ofMinutes(5);

    /** The runs of one instance that are gone, and the progress of the sweeps for them. */
    private static final class Case {

        private final Owner upTo;
        private final Duration since;
        private final Map<ServerId, Progress> progress = new HashMap<>();

        private Case(Owner upTo, Duration since) {
            this.upTo = upTo;
            this.since = since;
        }
    }

    /** The progress of the sweeps of one server. */
    private record Progress(int completeSweeps, Duration nextAt, boolean running) {}

    private final Map<InstanceId, Case> cases = new TreeMap<>();
    private List<Member> rankedMembers = List.of();
    private List<SweepTarget> rankedServers = List.of();
    private Map<ServerId, Integer> ranks = Map.of();
    private int runningSweeps;

    private OrphanSweepScheduler() {}

    /** Returns a scheduler without sweeps to schedule. */
    public static OrphanSweepScheduler create() {
        return new OrphanSweepScheduler();
    }

    /**
     * Handles an event and returns the sweeps to start.
     *
     * @param now the monotonic time, not before that of the last call
     */
    public List<OrphanEvent.Sweep> on(OrphanEvent event, Duration now) {
        return switch (event) {
            case OrphanEvent.Gone gone -> {
                openCase(gone.owner(), now);
                yield List.of();
            }
            case OrphanEvent.Returned returned -> {
                closeCase(returned.owner());
                yield List.of();
            }
            case OrphanEvent.SweepEnded ended -> {
                sweepEnded(ended, now);
                yield List.of();
            }
            case OrphanEvent.Tick tick -> dueSweeps(tick, now);
        };
    }

    private void openCase(Owner owner, Duration now) {
        Case open = cases.get(owner.instance());
        if (open == null || !open.upTo.incarnation().isAfter(owner.incarnation())) {
            cases.put(owner.instance(), new Case(owner, now));
        }
    }

    private void closeCase(Owner owner) {
        Case open = cases.get(owner.instance());
        if (open != null && open.upTo.equals(owner)) {
            cases.remove(owner.instance());
        }
    }

    private void sweepEnded(OrphanEvent.SweepEnded ended, Duration now) {
        runningSweeps--;
        Case open = cases.get(ended.sweep().upTo().instance());
        if (open == null || !open.upTo.equals(ended.sweep().upTo())) {
            return;
        }
        open.progress.computeIfPresent(
                ended.sweep().server(),
                (server, previous) -> ended.complete()
                        ? new Progress(previous.completeSweeps() + 1, now.plus(REPEAT_DELAY), false)
                        : new Progress(previous.completeSweeps(), now.plus(RETRY_DELAY), false));
    }

    private List<OrphanEvent.Sweep> dueSweeps(OrphanEvent.Tick tick, Duration now) {
        cases.values().removeIf(open -> now.minus(open.since).compareTo(MAX_CASE_AGE) > 0);
        if (cases.isEmpty() || tick.view().isolated()) {
            return List.of();
        }
        updateRanks(tick.view(), tick.servers());
        List<OrphanEvent.Sweep> sweeps = new ArrayList<>();
        for (Case open : cases.values()) {
            boolean isOwnRun = open.upTo.instance().equals(tick.view().self().id());
            (isOwnRun ? firstRankForAll() : ranks).forEach((server, rank) -> {
                if (runningSweeps < MAX_CONCURRENT_SWEEPS && isDue(open, server, rank, now)) {
                    runningSweeps++;
                    int completeSweeps = open.progress.get(server).completeSweeps();
                    open.progress.put(server, new Progress(completeSweeps, now, true));
                    sweeps.add(new OrphanEvent.Sweep(server, open.upTo));
                }
            });
        }
        return sweeps;
    }

    private static boolean isDue(Case open, ServerId server, int rank, Duration now) {
        Duration firstAt = open.since.plus(BACKUP_DELAY.multipliedBy(rank));
        Progress progress = open.progress.computeIfAbsent(server, id -> new Progress(0, firstAt, false));
        return !progress.running()
                && progress.completeSweeps() < SWEEPS_PER_SERVER
                && now.compareTo(progress.nextAt()) >= 0
                && now.compareTo(firstAt) >= 0;
    }

    /** Returns rank 0 for every server, since no other instance may know of an earlier run of this one. */
    private Map<ServerId, Integer> firstRankForAll() {
        return rankedServers.stream().collect(Collectors.toMap(SweepTarget::id, server -> 0));
    }

    /** Computes the servers that this instance sweeps and its rank for each; cached until members or servers change. */
    private void updateRanks(PeerView view, List<SweepTarget> servers) {
        List<Member> live = view.live();
        if (live.equals(rankedMembers) && servers.equals(rankedServers)) {
            return;
        }
        rankedMembers = live;
        rankedServers = servers;
        ranks = new TreeMap<>();
        for (SweepTarget server : servers) {
            List<InstanceId> inZone =
                    view.liveIn(server.zone()).stream().map(Member::id).toList();
            List<InstanceId> survivors =
                    inZone.isEmpty() ? live.stream().map(Member::id).toList() : inZone;
            int rank = Rendezvous.rank(server.id().value(), survivors)
                    .indexOf(view.self().id());
            if (rank >= 0 && rank < SWEEPERS_PER_SERVER) {
                ranks.put(server.id(), rank);
            }
        }
    }
}
