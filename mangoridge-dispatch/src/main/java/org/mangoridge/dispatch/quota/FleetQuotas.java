package org.mangoridge.dispatch.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.WorkspaceId;
import org.mangoridge.dispatch.config.GatewayConfig;
import org.mangoridge.dispatch.request.TokenDemand;
import org.mangoridge.dispatch.workspace.Quota;
import org.mangoridge.dispatch.workspace.Workspace;

/**
 * Keeps the quotas of workspaces over all instances, without a coordinator; confined to one thread.
 *
 * <p>Every instance tells what it has granted, and grants the same share of what is asked for as all others do. So it makes no
 * difference which instances the callers of a workspace reach, and an instance needs no share of its own, which would be less
 * than one request for most.
 */
public final class FleetQuotas {

    /** How long a change is told; longer than the longest time between two reports of an instance. */
    static final Duration TOLD_FOR = Duration.ofMillis(2500);
    /** Bounds what one report tells. */
    static final int MAX_TOLD = 24;
    /** How long the use of a peer that is not heard goes on as it was last heard. */
    static final Duration LOST_RETENTION = Duration.ofSeconds(60);
    /** Bounds what is kept of the use of peers, by workspace and peer, to some 17 MB. */
    static final int MAX_PEER_ACCOUNTS = 50_000;
    /** Time without use after which the use of a peer is forgotten; less if there are too many. */
    private static final Duration PEER_IDLE_TIME = Duration.ofSeconds(20);
    /** Shortest such time, in which a peer tells of each use several times. */
    private static final Duration MIN_PEER_IDLE_TIME = Duration.ofMillis(2500);
    /** Time without any call after which this instance has stood still, so that the silence of its peers means nothing. */
    private static final Duration STANDSTILL = Duration.ofSeconds(2);
    /** Shortest time after which a refused caller may return. */
    private static final Duration MIN_RETURN_TIME = Duration.ofMillis(500);
    /** Range of the times at which refused callers return, so that they do not meet again. */
    private static final Duration RETURN_SPREAD = Duration.ofSeconds(3);
    /** Interval at which idle accounts are looked for. */
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    private final RandomGenerator random;
    private final Map<WorkspaceId, WorkspaceAccount> accounts = new HashMap<>();
    private final Map<InstanceId, Run> peers = new HashMap<>();
    private Map<WorkspaceId, Workspace> workspaces = Map.of();
    /** The number of workspaces known of peers, counted anew by each sweep; at least the true number. */
    private int peerAccounts;
    /** The largest rate of all quotas. */
    private double largestRate = 1;

    private Duration lastSweep = Duration.ZERO;
    /** When the last call came; null before. */
    private Duration lastCall;
    /** When this instance began to hear what others use; null before. */
    private Duration listeningSince;

    private Runnable onRefusal = () -> {};

    private record Run(long startedMillis, Duration heardAt) {}

    private FleetQuotas(RandomGenerator random) {
        this.random = random;
    }

    /** Returns quotas of no workspace. */
    public static FleetQuotas create(RandomGenerator random) {
        return new FleetQuotas(random);
    }

    /** Sets what is called when a request is refused, after which the others are to be told soon; replaces the one before. */
    public void onRefusal(Runnable listener) {
        onRefusal = listener;
    }

    /** Adopts the workspaces of a configuration. */
    public void configure(GatewayConfig config) {
        Map<WorkspaceId, Workspace> newer = new HashMap<>();
        config.workspaces().forEach(workspace -> newer.put(workspace.id(), workspace));
        workspaces = newer;
        largestRate = newer.values().stream()
                .flatMap(workspace -> workspace.quota().stream())
                .mapToDouble(Quota::perSecond)
                .max()
                .orElse(1);
        accounts.keySet().retainAll(newer.keySet());
        accounts.forEach((id, account) -> {
            if (newer.get(id).quota().isEmpty()) {
                account.endLimit();
            }
        });
    }

    /**
     * Decides whether a request of a workspace is within its quota, and charges it if so.
     *
     * @param priority the priority of the request among those of its workspace, 0 is the highest: beyond the quota, less urgent
     *     requests are refused first
     */
    public QuotaDecision ask(Workspace workspace, TokenDemand tokens, int priority, Duration now) {
        noteStandstill(now);
        WorkspaceAccount account = account(workspace, now);
        if (workspace.quota().isEmpty()) {
            long units = tokens.stated().orElse(1);
            account.count(units, now);
            account.grant(units, now);
            return new QuotaDecision.Granted(units);
        }
        Quota quota = workspace.quota().get();
        long units = quota.unitsOf(tokens.stated());
        double share = account.ask(units, priority, quota, this::heardAt, now);
        if (share >= 1 || random.nextDouble() < share) {
            account.grant(units, now);
            return new QuotaDecision.Granted(units);
        }
        onRefusal.run();
        Duration spread = Duration.ofMillis((long) (random.nextDouble() * RETURN_SPREAD.toMillis()));
        return new QuotaDecision.Exceeded(
                units, share, account.timeToPayDebt(quota).plus(MIN_RETURN_TIME).plus(spread));
    }

    /**
     * Returns what {@link #ask} would find, and counts, charges and draws nothing; empty if the workspace has no quota.
     *
     * @param priority the priority of the request among those of its workspace, 0 is the highest
     */
    public Optional<QuotaOutlook> outlook(Workspace workspace, TokenDemand tokens, int priority, Duration now) {
        Duration listening = listeningSince == null ? Duration.ZERO : now.minus(listeningSince);
        WorkspaceAccount known = accounts.get(workspace.id());
        WorkspaceAccount account = known == null ? WorkspaceAccount.open(workspace, listening, now) : known;
        return workspace
                .quota()
                .map(quota -> account.outlook(quota.unitsOf(tokens.stated()), priority, quota, this::heardAt, now));
    }

    private WorkspaceAccount account(Workspace workspace, Duration now) {
        if (listeningSince == null) {
            listeningSince = now;
        }
        return accounts.computeIfAbsent(
                workspace.id(), id -> WorkspaceAccount.open(workspace, now.minus(listeningSince), now));
    }

    /** Takes back the charge of a request that has not run. */
    public void refund(WorkspaceId workspace, long units, Duration now) {
        WorkspaceAccount account = accounts.get(workspace);
        if (account != null) {
            account.refund(units, now);
        }
    }

    /**
     * Returns the service that a workspace has received of late at all instances, in proportion to what it may receive.
     *
     * <p>A workspace without a quota has the largest of all quotas as its measure.
     */
    public double serviceReceived(WorkspaceId id, Duration now) {
        WorkspaceAccount account = accounts.get(id);
        return account == null ? 0 : account.grantedRate(this::heardAt, now) / measure(id);
    }

    private double measure(WorkspaceId id) {
        return Optional.ofNullable(workspaces.get(id))
                .flatMap(Workspace::quota)
                .map(Quota::perSecond)
                .orElse(largestRate);
    }

    /** Takes the time out of the silence of all peers in which this instance could not hear them. */
    private void noteStandstill(Duration now) {
        if (lastCall != null) {
            Duration gap = now.minus(lastCall);
            if (gap.compareTo(STANDSTILL) > 0) {
                peers.replaceAll((peer, run) ->
                        new Run(run.startedMillis(), run.heardAt().plus(gap)));
            }
        }
        lastCall = now;
    }

    private Duration heardAt(InstanceId peer) {
        Run run = peers.get(peer);
        return run == null ? Duration.ZERO : run.heardAt();
    }

    /**
     * Returns what is told to the others: the accounts that have changed of late.
     *
     * <p>If they are too many for one report, they are drawn by lot, so that each is told soon whatever the order of requests.
     */
    public List<WorkspaceUse> told(Duration now) {
        List<WorkspaceUse> uses = new ArrayList<>();
        for (WorkspaceAccount account : accounts.values()) {
            if (account.hasUse() && now.minus(account.changedAt()).compareTo(TOLD_FOR) <= 0) {
                uses.add(account.use(now));
            }
        }
        if (uses.size() > MAX_TOLD) {
            Collections.shuffle(uses, random);
            return uses.subList(0, MAX_TOLD);
        }
        return uses;
    }

    /**
     * Records what a peer told; what it does not name has not changed.
     *
     * @param startedMillis tells the runs of the peer apart
     */
    public void peerHeard(InstanceId peer, long startedMillis, List<WorkspaceUse> uses, Duration now) {
        noteStandstill(now);
        Run known = peers.get(peer);
        if (known != null && known.startedMillis() != startedMillis) {
            peerLeft(peer);
        }
        peers.put(peer, new Run(startedMillis, now));
        for (WorkspaceUse use : uses) {
            Workspace workspace = workspaces.get(use.workspace());
            if (workspace != null) {
                record(peer, account(workspace, now), use, now);
            }
        }
    }

    /** Records a use unless it is of a peer that is new to the workspace and there are too many. */
    private void record(InstanceId peer, WorkspaceAccount account, WorkspaceUse use, Duration now) {
        if (!account.knows(peer)) {
            if (peerAccounts >= MAX_PEER_ACCOUNTS) {
                return;
            }
            peerAccounts++;
        }
        account.peerTold(peer, use, now);
    }

    /** Forgets a peer that has shut down. */
    public void peerLeft(InstanceId peer) {
        peers.remove(peer);
        accounts.values().forEach(account -> account.forget(peer));
    }

    /** Forgets what has not been used or heard for long; to be called several times a second. */
    public void tick(Duration now) {
        noteStandstill(now);
        if (listeningSince == null) {
            listeningSince = now;
        }
        if (now.minus(lastSweep).compareTo(SWEEP_INTERVAL) < 0) {
            return;
        }
        lastSweep = now;
        Set<InstanceId> lost = new HashSet<>();
        peers.forEach((peer, run) -> {
            if (now.minus(run.heardAt()).compareTo(LOST_RETENTION) > 0) {
                lost.add(peer);
            }
        });
        lost.forEach(this::peerLeft);
        Duration idleTime = PEER_IDLE_TIME;
        forgetIdlePeers(idleTime, now);
        while (peerAccounts > MAX_PEER_ACCOUNTS / 2 && idleTime.compareTo(MIN_PEER_IDLE_TIME) > 0) {
            idleTime = idleTime.dividedBy(2);
            forgetIdlePeers(idleTime, now);
        }
        accounts.values().removeIf(account -> account.isIdle(now));
    }

    private void forgetIdlePeers(Duration idleTime, Duration now) {
        peerAccounts = 0;
        for (WorkspaceAccount account : accounts.values()) {
            account.forgetIdlePeers(idleTime, now);
            peerAccounts += account.peerCount();
        }
    }

    /** Returns the number of workspaces known of peers, summed over these. */
    int peerAccounts() {
        return accounts.values().stream().mapToInt(WorkspaceAccount::peerCount).sum();
    }
}
