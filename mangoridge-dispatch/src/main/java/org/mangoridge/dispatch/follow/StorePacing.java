package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.mangoridge.core.Checks;
import org.mangoridge.dispatch.directory.ServerDirectory;

/** The intervals at which an instance calls the platform's store; confined to one thread. */
public final class StorePacing {

    /** Delay that batches server changes, as a share of the time within which a draining server must be known. */
    private static final double SERVER_DELAY_SHARE = 0.3;
    /** The same in a large fleet; the rest of that time is for a call that is slow, or fails and is repeated. */
    private static final double MAX_SERVER_DELAY_SHARE = 0.5;
    /** Longest mean pause between attempts to reach the store; a server that left must be known soon after its return. */
    private static final Duration SERVERS_MAX_BACKOFF = Duration.ofMillis(300);
    /** The same for the configuration, which has more time; a fleet must not exceed the call rate of the store. */
    private static final Duration CONFIG_MAX_BACKOFF = Duration.ofMillis(800);
    /** The same in a large fleet; then the return of the store is noticed by the calls for the servers. */
    private static final Duration CONFIG_MAX_BACKOFF_BEFORE_INTERVAL = Duration.ofMillis(200);
    /** Delay that batches configuration changes, which are rare and must be in force within two seconds. */
    private static final Duration CONFIG_DELAY = Duration.ofMillis(100);
    /** Longest time between these attempts, as a share of the time in which the configuration must be current. */
    private static final double CONFIG_RETRY_SHARE = 0.7;
    /** Delay, in addition to the batching, before the store is queried for server changes that a peer has. */
    private static final Duration SERVERS_CATCH_UP_MARGIN = Duration.ofMillis(300);

    private final Supplier<Follower.Pacing> servers;
    private final Supplier<Follower.Pacing> config;

    private StorePacing(Supplier<Follower.Pacing> servers, Supplier<Follower.Pacing> config) {
        this.servers = servers;
        this.config = config;
    }

    /**
     * Creates the intervals.
     *
     * @param drainNotice the time within which a server that drains must get no new requests
     * @param catchUpTime the time after the store has become reachable in which an instance must act on what it says
     * @param instances supplies the number of live instances, this one included
     * @param relisting supplies whether servers write again the entries that the store has lost; a long delay would let
     *     an entry that is back pass for one that is still missing
     */
    public static StorePacing create(
            Duration drainNotice, Duration catchUpTime, IntSupplier instances, BooleanSupplier relisting) {
        Checks.argument(drainNotice.isPositive(), "drain notice must be positive: %s", drainNotice);
        Checks.argument(catchUpTime.isPositive(), "catch-up time must be positive: %s", catchUpTime);
        Follower.Pacing leastServers = new Follower.Pacing(share(drainNotice, SERVER_DELAY_SHARE), SERVERS_MAX_BACKOFF);
        FleetPacing servers = FleetPacing.create(
                leastServers,
                new Follower.Pacing(
                        share(drainNotice, MAX_SERVER_DELAY_SHARE),
                        SERVERS_MAX_BACKOFF,
                        Follower.Pacing.meanOf(ServerDirectory.longestUnnoticedReturn(catchUpTime))),
                instances);
        return new StorePacing(
                () -> relisting.getAsBoolean() ? leastServers : servers.get(),
                FleetPacing.create(
                        new Follower.Pacing(CONFIG_DELAY, CONFIG_MAX_BACKOFF),
                        new Follower.Pacing(
                                CONFIG_DELAY,
                                CONFIG_MAX_BACKOFF_BEFORE_INTERVAL,
                                Follower.Pacing.meanOf(share(catchUpTime, CONFIG_RETRY_SHARE))),
                        instances));
    }

    private static Duration share(Duration duration, double share) {
        return Duration.ofNanos((long) (duration.toNanos() * share));
    }

    /** Returns the intervals of calls for the servers. */
    public Supplier<Follower.Pacing> servers() {
        return servers;
    }

    /** Returns the intervals of calls for the configuration. */
    public Supplier<Follower.Pacing> config() {
        return config;
    }

    /** Returns how long a server change that a peer has may take to arrive here. */
    public Duration serversLagTolerance() {
        return servers.get().batchDelay().plus(SERVERS_CATCH_UP_MARGIN);
    }
}
