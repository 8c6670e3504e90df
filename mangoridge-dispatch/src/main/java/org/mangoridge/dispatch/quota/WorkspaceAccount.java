package org.mangoridge.dispatch.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.WorkspaceId;
import org.mangoridge.dispatch.workspace.Quota;
import org.mangoridge.dispatch.workspace.Workspace;

/**
 * The use of one workspace at all instances, as this instance knows it, and what is left of its quota; not thread-safe.
 *
 * <p>All instances keep the same bucket: it fills at the rate of the quota and is charged with what any of them grants.
 */
final class WorkspaceAccount {

    /** Time over which the rates of use are averaged; a report takes a part of it to reach all instances. */
    private static final Duration RATE_TIME = Duration.ofMillis(500);
    /** Time within which what is left in the bucket, or missing, is made up for. */
    private static final double SETTLING_SECONDS = 1;
    /** Fill of the bucket from which everything is granted, as a share of the burst. */
    private static final double AMPLE_FILL = 0.5;
    /** Largest debt of many requests, as the time that the quota needs to pay it. */
    private static final double MAX_DEBT_SECONDS = 8;
    /** Time over which the mix of priorities is averaged; an instance sees few requests of a workspace in a second. */
    private static final Duration MIX_TIME = Duration.ofSeconds(5);
    /** Largest debt of one request, so that no caller keeps the others of its workspace out for longer. */
    private static final double MAX_REQUEST_DEBT_SECONDS = 60;
    /** Time for which sums over the peers are used again: there are hundreds of these, and their reports are older. */
    private static final Duration SUM_TIME = Duration.ofMillis(50);
    /** Time without use after which an account is closed. */
    static final Duration IDLE_TIME = Duration.ofSeconds(10);

    private final WorkspaceId workspace;
    /** When units were asked for here for the first time. */
    private Duration openedAt;

    private long asked;
    private long granted;
    private Duration changedAt;
    private final DecayingRate askedRate;
    private final DecayingRate grantedRate;
    /** What is asked for here by the priority of the requests. */
    private final Map<Integer, DecayingRate> askedByPriority = new HashMap<>();

    private final Map<InstanceId, PeerAccount> peers = new HashMap<>();
    /** When the use of the peers was added up; null before. */
    private Duration summedAt;

    private double peersAsked;
    private double peersGranted;
    /** Whether the level counts from a limit; what is used without one is no debt. */
    private boolean limited;
    /** The units of the largest request that was asked for here. */
    private long largestRequest;

    private double level;
    private Duration updated;

    private WorkspaceAccount(WorkspaceId workspace, boolean limited, double level, Duration now) {
        this.workspace = workspace;
        this.limited = limited;
        this.level = level;
        this.openedAt = now;
        this.changedAt = now;
        this.updated = now;
        this.askedRate = new DecayingRate(RATE_TIME, now);
        this.grantedRate = new DecayingRate(RATE_TIME, now);
    }

    /**
     * Opens the account of a workspace of which no use is known.
     *
     * @param listening how long this instance has heard what others use; what was used before that is unknown
     */
    static WorkspaceAccount open(Workspace workspace, Duration listening, Duration now) {
        double level = workspace
                .quota()
                .map(quota -> Math.min(quota.burst(), quota.perSecond() * listening.toNanos() / 1e9))
                .orElse(0.0);
        return new WorkspaceAccount(workspace.id(), workspace.quota().isPresent(), level, now);
    }

    /**
     * Returns the share of such requests of the workspace that is granted now, 0 to 1; counts the units as asked for.
     *
     * @param priority the priority of the request among those of the workspace, 0 is the highest
     * @param heardAt returns when a peer was last heard
     */
    double ask(long units, int priority, Quota quota, Function<InstanceId, Duration> heardAt, Duration now) {
        if (!limited) {
            limited = true;
            level = 0;
            updated = now;
        }
        advance(quota, heardAt, now);
        count(units, now);
        askedByPriority
                .computeIfAbsent(priority, each -> new DecayingRate(MIX_TIME, now))
                .add(units, now);
        return share(units, level, askedRate.at(now) + peersAsked, priority, 0, quota, now);
    }

    /** Returns what {@link #ask} would find, and counts nothing. */
    QuotaOutlook outlook(long units, int priority, Quota quota, Function<InstanceId, Duration> heardAt, Duration now) {
        double left = limited ? level : 0;
        double demand = askedRate.at(now) + units / (RATE_TIME.toNanos() / 1e9);
        for (Map.Entry<InstanceId, PeerAccount> peer : peers.entrySet()) {
            Duration heard = heardAt.apply(peer.getKey());
            left -= peer.getValue().stillExpected(heard, now);
            demand += peer.getValue().askedRate(heard, now);
        }
        double seconds = limited ? Math.max(0, now.minus(updated).toNanos() / 1e9) : 0;
        left = Math.clamp(
                left + quota.perSecond() * seconds,
                -maxDebt(quota, Math.max(largestRequest, units)),
                Math.max(1, quota.burst()));
        double added = units / (MIX_TIME.toNanos() / 1e9);
        return new QuotaOutlook(units, share(units, left, demand, priority, added, quota, now), left);
    }

    private double share(
            long units, double left, double demand, int priority, double added, Quota quota, Duration now) {
        boolean ample = left >= AMPLE_FILL * quota.burst() && left > 0;
        if (ample || units == 0) {
            return 1;
        }
        double supply = quota.perSecond() + left / SETTLING_SECONDS;
        return demand <= 0 ? 1 : shareOf(priority, Math.clamp(supply / demand, 0, 1), added, now);
    }

    /**
     * Returns the share that is granted of requests of a priority if such a share is granted of all: the more urgent ones come
     * first. The mix of priorities that is asked for here stands for that at all instances.
     */
    private double shareOf(int priority, double shareOfAll, double added, Duration now) {
        double all = added;
        double moreUrgent = 0;
        for (Map.Entry<Integer, DecayingRate> each : askedByPriority.entrySet()) {
            double rate = each.getValue().at(now);
            all += rate;
            moreUrgent += each.getKey() < priority ? rate : 0;
        }
        DecayingRate known = askedByPriority.get(priority);
        double own = added + (known == null ? 0 : known.at(now));
        return Math.clamp((shareOfAll * all - moreUrgent) / own, 0, 1);
    }

    /** Ends the limit; the next one starts from an empty bucket without debt. */
    void endLimit() {
        limited = false;
    }

    /**
     * Counts units as asked for.
     *
     * <p>After a time without use the counts start from zero, since peers may have forgotten what they were.
     */
    void count(long units, Duration now) {
        if (asked == 0 || now.minus(changedAt).compareTo(IDLE_TIME) > 0) {
            asked = 0;
            granted = 0;
            openedAt = now;
        }
        asked += units;
        largestRequest = Math.max(largestRequest, units);
        askedRate.add(units, now);
        changedAt = now;
    }

    /** Charges units that are granted here. */
    void grant(long units, Duration now) {
        granted += units;
        grantedRate.add(units, now);
        level -= units;
        changedAt = now;
    }

    /** Takes a grant back, for a request that has not run. */
    void refund(long units, Duration now) {
        long refunded = Math.min(units, granted);
        granted -= refunded;
        grantedRate.add(-refunded, now);
        level += refunded;
        changedAt = now;
    }

    void peerTold(InstanceId peer, WorkspaceUse use, Duration now) {
        level -= peers.computeIfAbsent(peer, id -> PeerAccount.open(now)).record(use, now);
    }

    void forget(InstanceId peer) {
        peers.remove(peer);
    }

    /** Brings the bucket to the current time. */
    private void advance(Quota quota, Function<InstanceId, Duration> heardAt, Duration now) {
        sumPeers(heardAt, now);
        Duration time = now.minus(updated);
        if (time.isPositive()) {
            updated = now;
            level += quota.perSecond() * time.toNanos() / 1e9;
        }
        level = Math.clamp(level, -maxDebt(quota, largestRequest), Math.max(1, quota.burst()));
    }

    private static double maxDebt(Quota quota, long largest) {
        double seconds = Math.clamp(largest / quota.perSecond(), MAX_DEBT_SECONDS, MAX_REQUEST_DEBT_SECONDS);
        return quota.perSecond() * seconds;
    }

    /** Adds up the use of the peers, and charges what silent ones are expected to have used. */
    private void sumPeers(Function<InstanceId, Duration> heardAt, Duration now) {
        if (summedAt != null && now.minus(summedAt).compareTo(SUM_TIME) < 0) {
            return;
        }
        summedAt = now;
        peersAsked = 0;
        peersGranted = 0;
        for (Map.Entry<InstanceId, PeerAccount> peer : peers.entrySet()) {
            Duration heard = heardAt.apply(peer.getKey());
            level -= peer.getValue().expect(heard, now);
            peersAsked += peer.getValue().askedRate(heard, now);
            peersGranted += peer.getValue().grantedRate(heard, now);
        }
    }

    /** Returns the units per second that all instances have granted of late. */
    double grantedRate(Function<InstanceId, Duration> heardAt, Duration now) {
        sumPeers(heardAt, now);
        return Math.max(0, grantedRate.at(now) + peersGranted);
    }

    /** Returns what is left in the bucket; negative if more was granted than the quota allows. */
    double level() {
        return level;
    }

    /** Returns after what time the bucket is no longer in debt if nothing is granted until then. */
    Duration timeToPayDebt(Quota quota) {
        return level >= 0 ? Duration.ZERO : Duration.ofMillis((long) (-level / quota.perSecond() * 1000));
    }

    /** Returns whether units were asked for here since the account was opened. */
    boolean hasUse() {
        return asked > 0;
    }

    WorkspaceUse use(Duration now) {
        return new WorkspaceUse(workspace, asked, granted, now.minus(openedAt));
    }

    /** Returns when units were last asked for, granted or refunded here. */
    Duration changedAt() {
        return changedAt;
    }

    boolean knows(InstanceId peer) {
        return peers.containsKey(peer);
    }

    int peerCount() {
        return peers.size();
    }

    /** Forgets the peers that have not used anything for the given time. */
    void forgetIdlePeers(Duration idleTime, Duration now) {
        peers.values().removeIf(peer -> now.minus(peer.changedAt()).compareTo(idleTime) > 0);
    }

    /** Returns whether the account has no use left. */
    boolean isIdle(Duration now) {
        return peers.isEmpty() && now.minus(changedAt).compareTo(IDLE_TIME) > 0;
    }
}
