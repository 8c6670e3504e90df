package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;

/**
 * Keeps the rates that servers announce, which hold for all instances together; does no I/O, confined to one thread.
 *
 * <p>Each instance takes its share of a limit from a token bucket. What all buckets hold together is bounded by the limit
 * as well, however many instances there are.
 */
public final class ServerRateLimiter {

    /** Requests that all instances together may send at once to a server, in addition to {@link #SEAT_TIME}. */
    private static final int MIN_SEATS = 2;
    /** Requests at the limit for so long may be sent at once besides; one seat each. */
    private static final Duration SEAT_TIME = Duration.ofSeconds(1);
    /** Bounds the seats of a limit that is far above any load. */
    private static final int MAX_SEATS = 1 << 20;
    /** Time for which a bucket collects its share beyond the first request. */
    private static final Duration BURST_TIME = Duration.ofMillis(500);
    /** Rate at which servers that take nothing are still asked, since only an answer tells that a limit has ended. */
    private static final double MIN_RATE = 0.25;
    /** How long a computed share is used before it is computed again. */
    private static final Duration SHARE_REFRESH_INTERVAL = Duration.ofMillis(250);
    /** Time between two computed shares beyond which those before are computed again from the remembered demand. */
    private static final Duration MAX_SAMPLE_GAP = Duration.ofSeconds(1);
    /** When callers may return where this instance has no share; others have. */
    private static final Duration RETURN_WITHOUT_SHARE = Duration.ofSeconds(1);
    /** Longest time after which a caller is told to return. */
    private static final Duration MAX_RETURN_TIME = Duration.ofSeconds(10);

    private final AnnouncedLimits limits = new AnnouncedLimits();
    private final ServerPauses pauses = new ServerPauses();
    private final FleetDemand demand;
    private final Map<ServerRun, Bucket> buckets = new HashMap<>();
    /** The time up to which what a service may be sent is promised to refused callers. */
    private final Map<ServiceId, Duration> promisedUntil = new HashMap<>();

    /**
     * The limit of a server and this instance's share of it.
     *
     * @param limit the limit
     * @param requestsPerSecond the share
     * @param silence how long ago an answer announced the limit
     */
    public record Share(RateLimit limit, double requestsPerSecond, Duration silence) {}

    /** The tokens that this instance has for one run of a server; each is good for one request. */
    private static final class Bucket {
        private double tokens;
        private double rate;
        private Duration updatedAt;
        /** The shares of late, the newest last; the smallest one counts. */
        private final Deque<Sample> samples = new ArrayDeque<>();

        private record Sample(Duration at, double rate) {}

        private Bucket(Duration now) {
            this.updatedAt = now;
        }

        private void empty() {
            samples.clear();
            rate = 0;
            tokens = 0;
        }

        private boolean refreshDue(Duration now) {
            return samples.isEmpty() || now.minus(samples.getLast().at()).compareTo(SHARE_REFRESH_INTERVAL) >= 0;
        }

        /** Returns whether shares were computed often enough to be the base of the next one. */
        private boolean isCurrent(Duration now) {
            return !samples.isEmpty() && now.minus(samples.getLast().at()).compareTo(MAX_SAMPLE_GAP) <= 0;
        }

        private void add(double share, Duration now) {
            samples.addLast(new Sample(now, share));
            while (now.minus(samples.getFirst().at()).compareTo(FleetDemand.SETTLING_TIME) > 0) {
                samples.removeFirst();
            }
            rate = samples.stream().mapToDouble(Sample::rate).min().orElse(0);
            tokens = Math.min(tokens, burst());
        }

        private void refill(Duration now) {
            tokens = tokensAt(now);
            updatedAt = now;
        }

        private double tokensAt(Duration now) {
            double seconds = Math.max(0, now.minus(updatedAt).toNanos() / 1e9);
            return Math.min(burst(), tokens + rate * seconds);
        }

        private double burst() {
            return rate == 0 ? 0 : 1 + rate * BURST_TIME.toNanos() / 1e9;
        }
    }

    private ServerRateLimiter(InstanceId self) {
        this.demand = new FleetDemand(self);
    }

    /** Returns a limiter that knows of no limit and no peer. */
    public static ServerRateLimiter create(InstanceId self) {
        return new ServerRateLimiter(self);
    }

    /** Records a request of a caller for a service. */
    public void recordRequest(ServiceId service, Duration now) {
        demand.recordRequest(service, now);
    }

    /** Returns the demand of this instance by service, to be told to peers. */
    public Map<ServiceId, Integer> demand(Duration now) {
        return demand.ownWeights(now);
    }

    /** Records the demand that a peer told. */
    public void peerHeard(InstanceId peer, Map<ServiceId, Integer> weights) {
        demand.peerHeard(peer, weights);
    }

    /** Records that a peer has shut down. */
    public void peerLeft(InstanceId peer) {
        demand.peerLeft(peer);
    }

    /** Records that a peer is no longer heard, though it may still run. */
    public void peerLost(InstanceId peer, Duration now) {
        demand.peerLost(peer, now);
    }

    /** Remembers the demand of the fleet; to be called several times a second. */
    public void tick(Duration now) {
        demand.tick(now);
    }

    /**
     * Records what an answer of a server announced; returns whether its limit is changed by that.
     *
     * @param announced the limit; empty if the answer announced none
     * @param sentAt when the request was sent
     */
    public boolean recordAnswer(ServerEntry server, Optional<RateLimit> announced, Duration sentAt, Duration now) {
        if (announced.isEmpty() && limits.isEmpty()) {
            return false;
        }
        ServerRun run = ServerRun.of(server);
        boolean changed = announced.isPresent()
                ? limits.recordAnnounced(run, announced.get(), now)
                : limits.recordNotAnnounced(run, sentAt, now);
        if (changed) {
            limitChanged(run);
        }
        return changed;
    }

    /** Adds what a peer told of limits; returns the runs of servers whose limit is changed by that. */
    public Set<ServerRun> merge(List<LimitStatus> told, Duration now) {
        Set<ServerRun> changed = limits.merge(told, now);
        changed.forEach(this::limitChanged);
        return changed;
    }

    private void limitChanged(ServerRun run) {
        Bucket bucket = buckets.get(run);
        if (bucket != null) {
            bucket.samples.clear();
        }
    }

    /** Returns what is known of limits, to be told to peers. */
    public List<LimitStatus> statuses(Duration now) {
        return limits.statuses(now);
    }

    /** Tells whether any server has or had a limit; if not, there is nothing to ask. */
    public boolean knowsLimits() {
        return !limits.isEmpty();
    }

    /** Returns the limit of a run of a server; empty if it has none. */
    public Optional<RateLimit> limit(ServerRun run) {
        return limits.limit(run);
    }

    /** Returns the limit of a server and this instance's share of it; empty if it has none. */
    public Optional<Share> share(ServerEntry server, Duration now) {
        ServerRun run = ServerRun.of(server);
        return limits.limit(run)
                .map(limit -> new Share(
                        limit,
                        bucket(server, limit, now).rate,
                        limits.status(run, now).orElseThrow().silence()));
    }

    /**
     * Records that a server asked for a pause; returns whether it was not paused before.
     *
     * @param pause its length; a longer one than {@link #maxPause} counts as that
     */
    public boolean recordPause(ServerEntry server, Duration pause, Duration now) {
        return pauses.record(server, pause, now);
    }

    /** Returns the longest pause that a server gets. */
    public static Duration maxPause() {
        return ServerPauses.MAX_PAUSE;
    }

    /** Tells whether a server has asked for a pause that has not ended. */
    public boolean isPaused(ServerEntry server, Duration now) {
        return pauses.isPaused(server, now);
    }

    /** Returns after what time the first pause of the servers ends; empty if not all of them are paused. */
    public Optional<Duration> firstPauseEnd(Collection<ServerEntry> servers, Duration now) {
        return pauses.firstEnd(servers, now);
    }

    /** Tells whether a request may be sent to a server now. */
    public boolean permits(ServerEntry server, Duration now) {
        if (pauses.isPaused(server, now)) {
            return false;
        }
        Optional<RateLimit> limit = limits.isEmpty() ? Optional.empty() : limits.limit(ServerRun.of(server));
        return limit.isEmpty() || bucket(server, limit.get(), now).tokens >= 1;
    }

    /**
     * Tells whether a request could be sent to a server now, and changes nothing.
     *
     * <p>This instance's share of the limit is taken as it was when a request last asked for it.
     */
    public boolean wouldPermit(ServerEntry server, Duration now) {
        if (pauses.isPaused(server, now)) {
            return false;
        }
        ServerRun run = ServerRun.of(server);
        if (limits.limit(run).isEmpty()) {
            return true;
        }
        Bucket bucket = buckets.get(run);
        return bucket != null && demand.hasSettled(now) && bucket.tokensAt(now) >= 1;
    }

    /** Counts a request that is sent to a server; without a permission the next ones wait for longer. */
    public void take(ServerEntry server, Duration now) {
        if (!limits.isEmpty()) {
            limits.limit(ServerRun.of(server)).ifPresent(limit -> bucket(server, limit, now).tokens--);
        }
    }

    /** Gives back a permission that was taken and not used. */
    public void giveBack(ServerEntry server) {
        Bucket bucket = buckets.get(ServerRun.of(server));
        if (bucket != null) {
            bucket.tokens = Math.min(bucket.burst(), bucket.tokens + 1);
        }
    }

    private Bucket bucket(ServerEntry server, RateLimit limit, Duration now) {
        ServerRun run = ServerRun.of(server);
        Bucket bucket = buckets.computeIfAbsent(run, each -> new Bucket(now));
        bucket.refill(now);
        if (!demand.hasSettled(now)) {
            bucket.empty();
        } else if (bucket.refreshDue(now)) {
            double rate = Math.max(MIN_RATE, limit.requestsPerSecond());
            int seats = (int) Math.min(MAX_SEATS, MIN_SEATS + rate * SEAT_TIME.toNanos() / 1e9);
            if (bucket.isCurrent(now)) {
                bucket.add(demand.newestShare(server.service(), run, rate, seats, now), now);
            } else {
                bucket.samples.clear();
                bucket.add(demand.settledShare(server.service(), run, rate, seats, now), now);
            }
        }
        return bucket;
    }

    /**
     * Returns after what time a caller may return whom no server of a service can be sent now; each gets a time of its
     * own, at which this instance has the next permission, or the time at which the first pause ends.
     */
    public Duration nextReturn(ServiceId service, Collection<ServerEntry> servers, Duration now) {
        Optional<Duration> pauseEnd = pauses.firstEnd(servers, now);
        if (pauseEnd.isPresent()) {
            return pauseEnd.get();
        }
        double rate = servers.stream()
                .filter(server -> !pauses.isPaused(server, now))
                .flatMap(server -> share(server, now).stream())
                .mapToDouble(Share::requestsPerSecond)
                .sum();
        if (rate == 0) {
            return RETURN_WITHOUT_SHARE;
        }
        Duration promised = promisedUntil.getOrDefault(service, now);
        Duration next = (promised.compareTo(now) > 0 ? promised : now).plusNanos((long) (1e9 / rate));
        Duration wait = next.minus(now);
        if (wait.compareTo(MAX_RETURN_TIME) > 0) {
            return MAX_RETURN_TIME;
        }
        promisedUntil.put(service, next);
        return wait;
    }

    /** Forgets servers that are not listed any more. */
    public void retain(Set<ServerRun> listed, Duration now) {
        limits.retain(listed, now);
        buckets.keySet().retainAll(listed);
        pauses.retain(listed);
    }
}
