package org.mangoridge.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.dispatch.balance.DrainAdmission;
import org.mangoridge.dispatch.balance.EngineBalancer;
import org.mangoridge.dispatch.balance.LoadTracker;
import org.mangoridge.dispatch.balance.PlainBalancer;
import org.mangoridge.dispatch.balance.PrefillTimeEstimator;
import org.mangoridge.dispatch.balance.RetryBudget;
import org.mangoridge.dispatch.balance.ServerHealthTracker;
import org.mangoridge.dispatch.balance.ServerPace;
import org.mangoridge.dispatch.config.CallerLimits;
import org.mangoridge.dispatch.config.GatewayConfig;
import org.mangoridge.dispatch.directory.DirectoryTiming;
import org.mangoridge.dispatch.directory.ServerDirectory;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.follow.CountingFeed;
import org.mangoridge.dispatch.follow.Follower;
import org.mangoridge.dispatch.follow.StoreEra;
import org.mangoridge.dispatch.follow.StoreLag;
import org.mangoridge.dispatch.follow.StorePacing;
import org.mangoridge.dispatch.limit.ServerRateLimiter;
import org.mangoridge.dispatch.quota.FleetQuotas;
import org.mangoridge.gateway.exchange.CrashGuard;
import org.mangoridge.gateway.exchange.GatewayContext;
import org.mangoridge.gateway.exchange.GatewayMetrics;
import org.mangoridge.gateway.exchange.RequestRouter;
import org.mangoridge.gateway.exchange.ServerCalls;
import org.mangoridge.gateway.exchange.WireDialect;
import org.mangoridge.gateway.gossip.LoadGossipTransport;
import org.mangoridge.gateway.gossip.LoadReport;
import org.mangoridge.gateway.gossip.PeerTable;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.log.GuardedTask;
import org.mangoridge.gateway.net.BodyMemory;
import org.mangoridge.gateway.net.BufferMemory;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.FrontServer;
import org.mangoridge.gateway.net.FrontState;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamPool;
import org.mangoridge.gateway.net.UpstreamRequest;
import org.mangoridge.gateway.stage.StageController;

/** An entry instance: wires routing to connections, timers and the store, all on one event loop. */
public final class GatewayNode implements FrontState, AutoCloseable {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    /** A tick that is delayed by more than this means that the process was paused. */
    private static final Duration MIN_REPORTED_PAUSE = Duration.ofMillis(1500);

    /** Idle time after which a shutdown closes a connection; the first request of a new one may be on its way. */
    private static final Duration MIN_IDLE_BEFORE_CLOSE = Duration.ofMillis(100);

    private static final Duration POOL_SWEEP_INTERVAL = Duration.ofSeconds(1);
    /** Divisor of the process memory that yields the memory for request bodies. */
    private static final int BODY_MEMORY_DIVISOR = 12;
    /** The same for buffers that servers and callers fill. */
    private static final int BUFFER_MEMORY_DIVISOR = 12;
    /** Least ratio of the heap's limit to that memory. */
    private static final int BUFFER_MEMORY_HEAP_DIVISOR = 4;
    /** Fraction of the file descriptors that connections of callers may use. */
    private static final double FRONT_DESCRIPTOR_FRACTION = 0.6;
    /** Delay before the store is queried for a configuration that a peer has and this instance has not received. */
    private static final Duration CONFIG_CATCH_UP_DELAY = Duration.ofMillis(400);

    private final GatewaySettings settings;
    private final Clock clock;
    private final EventSink log;
    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final UpstreamPool pool;
    private final GatewayContext context;
    private final RequestRouter router;
    private final FrontServer front;
    private FrontServer status;
    private FrontServer metrics;
    private final LoadGossipTransport loadGossip;
    private final PeerTable peers;
    private final Follower<GatewayConfig> configFollower;
    private final Follower<ServerEntry> serverFollower;
    private final ServerEvents serverEvents;
    private final StoreLag configLag;
    private final StoreLag serversLag;
    private final StageController stages;
    private final StoreEra era;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private Duration lastTick;
    private Duration lastSweep = Duration.ZERO;
    private Duration drainingSince;
    private final ShutdownPlan shutdownPlan;
    private boolean wasReady;
    private boolean stopped;

    private GatewayNode(
            GatewaySettings settings,
            Clock clock,
            RandomGenerator random,
            EventSink log,
            WireDialect dialect,
            GatewayFeeds.Factory feedFactory) {
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.shutdownPlan = ShutdownPlan.of(settings.grace());
        this.group = new NioEventLoopGroup(1);
        this.loop = group.next();
        GatewayMetrics requestMetrics = GatewayMetrics.create();
        BufferMemory buffers = createBuffers(settings.memoryBytes(), loop, requestMetrics, log);
        this.pool = UpstreamPool.create(
                loop, clock, head -> dialect.readReply(head).request(), requestMetrics.registry(), buffers);
        this.context = createContext(settings, loop, pool, buffers, clock, random, requestMetrics, log, dialect);
        PaceEvents.observe(context);
        LoadTracker loads = context.loads();
        this.router = RequestRouter.create(context, this::isConfigBehind);
        this.peers = PeerTable.create(settings.peer(), settings.seeds(), random);
        this.loadGossip = LoadGossipTransport.create(
                context, origin(settings, clock), peers, this::storeVersions, this::catchUpWithPeers);
        tellPeersOfChanges();
        BodyMemory memory = BodyMemory.of(settings.memoryBytes() / BODY_MEMORY_DIVISOR);
        requestMetrics.show("memory.request_bodies", memory::usedBytes);
        showHeap(requestMetrics);
        int maxConnections = (int) (settings.maxDescriptors() * FRONT_DESCRIPTOR_FRACTION);
        this.front = FrontServer.create(loop, clock, this, router, memory, context.buffers(), maxConnections);
        GatewayFeeds feeds = feedFactory.create(loop, this::callStore, context.calls(), context.buffers());
        this.stages = StageController.create(
                settings.instance(),
                settings.handoverDelay(),
                clock,
                log,
                loads,
                feeds.orders(),
                feeds.lease(),
                feeds.era());
        this.era = feeds.era();
        this.serverEvents = new ServerEvents(context, router::placeWaitingRequests);
        StorePacing pacing = storePacing();
        this.serversLag = StoreLag.create(pacing::serversLagTolerance);
        this.configLag = StoreLag.create(CONFIG_CATCH_UP_DELAY);
        this.serverFollower = Follower.create(
                new CountingFeed<>(feeds.servers(), () -> requestMetrics.count("store.calls.servers")),
                serverEvents,
                pacing.servers(),
                this::defer,
                clock,
                random);
        this.configFollower = Follower.create(
                new CountingFeed<>(feeds.configs(), () -> requestMetrics.count("store.calls.config")),
                new ConfigEvents(router, log, context.metrics()),
                pacing.config(),
                this::defer,
                clock,
                random);
        serverFollower.onRecovery(configFollower::retryNow);
    }

    private static void showHeap(GatewayMetrics metrics) {
        Runtime runtime = Runtime.getRuntime();
        metrics.show("memory.heap_used", () -> runtime.totalMemory() - runtime.freeMemory());
        metrics.show("memory.heap_limit", runtime::maxMemory);
    }

    private StorePacing storePacing() {
        ServerDirectory directory = context.directory();
        return StorePacing.create(
                settings.drainNotice(),
                settings.catchUpTime(),
                () -> peers.size() + 1,
                () -> directory.isRelisting(clock.elapsed()));
    }

    private UpstreamCall callStore(UpstreamRequest request, CallListener listener) {
        context.metrics().count("store.calls");
        return pool.call(request, listener);
    }

    private void tellPeersOfChanges() {
        context.crashGuard().onObservedCrash(loadGossip::evidenceObserved);
        context.calls().onAnnouncement(loadGossip::evidenceObserved);
        context.loads().onOwnChange(loadGossip::loadChanged);
        context.quotas().onRefusal(loadGossip::useChanged);
    }

    /** Returns this run of the instance, as its load reports name it. */
    private static LoadReport.Origin origin(GatewaySettings settings, Clock clock) {
        return new LoadReport.Origin(
                settings.instance(),
                clock.now().toEpochMilli(),
                settings.peer(),
                settings.zone(),
                settings.milliCores());
    }

    private static GatewayContext createContext(
            GatewaySettings settings,
            EventLoop loop,
            UpstreamPool pool,
            BufferMemory buffers,
            Clock clock,
            RandomGenerator random,
            GatewayMetrics metrics,
            EventSink log,
            WireDialect dialect) {
        ServerDirectory directory = ServerDirectory.create(
                new DirectoryTiming(settings.catchUpTime(), settings.drainNotice(), settings.reportInterval()));
        LoadTracker loads = LoadTracker.create();
        metrics.show("placements.unreported", () -> Math.round(loads.unreportedRequests(clock.elapsed())));
        ServerPace pace = ServerPace.create(loads, random);
        ServerHealthTracker tracks = ServerHealthTracker.create(pace);
        PrefillTimeEstimator prefillTimes = PrefillTimeEstimator.create();
        ServerRateLimiter limiter = ServerRateLimiter.create(settings.instance());
        ServerCalls calls = ServerCalls.create(pool, clock, dialect, limiter, directory, metrics, log);
        RetryBudget budget =
                RetryBudget.create(settings.retryRatio(), settings.retryAllowance(), settings.retryWindow());
        return new GatewayContext(
                loop,
                clock,
                random,
                dialect,
                calls,
                limiter,
                FleetQuotas.create(random),
                buffers,
                directory,
                loads,
                tracks,
                pace,
                prefillTimes,
                budget,
                PlainBalancer.create(loads, tracks, limiter, settings.zone(), random),
                EngineBalancer.create(loads, tracks, limiter, prefillTimes, settings.zone(), random),
                CrashGuard.create(loop, clock, calls, directory, metrics, log),
                DrainAdmission.create(),
                metrics,
                log);
    }

    private static BufferMemory createBuffers(long memoryBytes, EventLoop loop, GatewayMetrics metrics, EventSink log) {
        long limitBytes = Math.min(
                Runtime.getRuntime().maxMemory() / BUFFER_MEMORY_HEAP_DIVISOR, memoryBytes / BUFFER_MEMORY_DIVISOR);
        BufferMemory buffers = BufferMemory.of(limitBytes, loop, (peer, bytes, peerBytes, usedBytes) -> {
            metrics.count("buffers.evicted");
            log.log(
                    LogEvent.BUFFER_EVICTED,
                    Field.of("peer", peer),
                    Field.of("bytes", bytes),
                    Field.of("peer_bytes", peerBytes),
                    Field.of("used_bytes", usedBytes));
        });
        metrics.show("memory.buffers", buffers::usedBytes);
        return buffers;
    }

    /**
     * Returns an instance that is not started yet.
     *
     * @param feedFactory creates the connections to the platform on the event loop of the instance
     */
    public static GatewayNode create(
            GatewaySettings settings,
            Clock clock,
            RandomGenerator random,
            EventSink log,
            WireDialect dialect,
            GatewayFeeds.Factory feedFactory) {
        return new GatewayNode(settings, clock, random, log, dialect, feedFactory);
    }

    /** Binds all ports, follows the store and serves requests. */
    public void start() throws InterruptedException {
        front.listen(settings.front()).sync();
        status = FrontServer.create(
                loop,
                clock,
                this,
                new StatusHandler(this, router, context.metrics()),
                BodyMemory.of(1 << 16),
                context.buffers(),
                64);
        status.listen(settings.ready()).sync();
        metrics = FrontServer.create(
                loop,
                clock,
                this,
                new StatusHandler(this, router, context.metrics()),
                BodyMemory.of(1 << 16),
                context.buffers(),
                16);
        metrics.listen(settings.metrics()).sync();
        loadGossip.start(settings.peer()).sync();
        loop.submit(this::startOnLoop).sync();
        log.log(
                LogEvent.INSTANCE_STARTED,
                Field.of("zone", settings.zone()),
                Field.of("front", settings.front()),
                Field.of("ready", settings.ready()),
                Field.of("peer", settings.peer()),
                Field.of("metrics", settings.metrics()));
    }

    private void startOnLoop() {
        lastTick = clock.elapsed();
        loop.scheduleWithFixedDelay(
                this::safeTick, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        configFollower.restart();
        serverFollower.restart();
        era.onRestore(this::storeRestored);
    }

    private void defer(Duration delay, Runnable task) {
        loop.schedule(GuardedTask.of(log, "timer", task), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Queries the store if a peer reported newer versions than this instance has. Capacity that a peer released is not
     * handled here: waiting requests find it at their next check.
     */
    private void catchUpWithPeers() {
        LoadReport.StoreVersions newest = peers.newestVersions();
        if (newest.era() != era.current()) {
            // Revisions of different eras can't be compared, and the next answer of the store shows its era.
            return;
        }
        Duration now = clock.elapsed();
        // A follower that does not reach the store repeats its call by itself.
        if (configLag.queryDue(configVersion(), newest.configVersion(), now) && !configFollower.isFailing()) {
            configFollower.restart();
        }
        if (serversLag.queryDue(serverFollower.revision(), newest.serversRevision(), now)
                && !serverFollower.isFailing()) {
            serverFollower.restartWatch();
        }
    }

    private void storeRestored(long newEra) {
        log.log(LogEvent.PLATFORM_RESTORED, Field.of("era", newEra), Field.of("config", configVersion()));
        serversLag.reset();
        serverEvents.storeRestored();
        stages.storeRestored();
        configFollower.storeRestored();
        serverFollower.storeRestored();
    }

    /** Returns whether a peer has, or may have, a newer configuration than this instance. */
    private boolean isConfigBehind() {
        LoadReport.StoreVersions newest = peers.newestVersions();
        return newest.era() > era.current()
                || newest.era() == era.current() && newest.configVersion() > configVersion();
    }

    private long configVersion() {
        return router.config().map(GatewayConfig::version).orElse(-1L);
    }

    private LoadReport.StoreVersions storeVersions() {
        return new LoadReport.StoreVersions(era.current(), configVersion(), serverFollower.newestChange());
    }

    /** Logs failures of a tick; the event loop does not repeat a task that throws, and all timeouts depend on the tick. */
    private void safeTick() {
        GuardedTask.run(log, "tick", this::tick);
        if (drainingSince != null && !stopped) {
            GuardedTask.run(log, "shutdown", () -> advanceShutdown(clock.elapsed()));
        }
    }

    private void tick() {
        Duration now = clock.elapsed();
        Duration delay = now.minus(lastTick).minus(TICK_INTERVAL);
        lastTick = now;
        if (delay.compareTo(MIN_REPORTED_PAUSE) > 0) {
            log.log(LogEvent.INSTANCE_PAUSED, Field.of("for_ms", delay));
            pool.evictAll();
            configFollower.restart();
            serverFollower.restart();
        }
        serverEvents.expire(now);
        context.limiter().tick(now);
        context.quotas().tick(now);
        loadGossip.tick();
        catchUpWithPeers();
        List.of(front, status, metrics).forEach(FrontServer::closeTimedOut);
        if (now.minus(lastSweep).compareTo(POOL_SWEEP_INTERVAL) >= 0) {
            lastSweep = now;
            pool.sweep();
            context.crashGuard().expire();
        }
        logReadinessChange();
        if (drainingSince == null) {
            stages.tick(this::modelServers, peers.hasLowestId(settings.instance()));
        }
    }

    /** Returns the servers of the model service whose stages are managed, the first by name if there are several. */
    private List<ServerEntry> modelServers() {
        return router.config()
                .flatMap(GatewayConfig::firstModelService)
                .map(context.directory()::usable)
                .orElse(List.of());
    }

    private void logReadinessChange() {
        boolean ready = ready();
        if (ready != wasReady) {
            wasReady = ready;
            log.log(LogEvent.READINESS_CHANGED, Field.of("ready", ready));
        }
    }

    private void advanceShutdown(Duration now) {
        Duration since = now.minus(drainingSince);
        if (shutdownPlan.balancerHasNoticed(since)) {
            // A caller that finds its connection closed opens one elsewhere; a refusal would use up a retry.
            front.closeIdle(MIN_IDLE_BEFORE_CLOSE);
        }
        switch (shutdownPlan.next(since, front.unsentResponses(), front.requestsBeingRead())) {
            case REFUSE -> {
                context.admission().close();
                front.stopListening();
            }
            case END_REQUESTS -> {
                context.admission().close();
                logEnded(since, front.unansweredRequests());
                front.endUnansweredRequests();
            }
            case END -> {
                stopped = true;
                try {
                    context.admission().close();
                    logEnded(since, front.requestsInProgress());
                    front.endRequests();
                    log.log(
                            LogEvent.INSTANCE_STOPPED,
                            Field.of("after_ms", since),
                            Field.of("requests_cut", front.unsentResponses()),
                            Field.of("connections", front.connectionCount()));
                    loadGossip.leave();
                } finally {
                    terminated.countDown();
                }
            }
            default -> {
                // Requests are in progress, or the load balancer may still send new ones.
            }
        }
    }

    private void logEnded(Duration since, long requests) {
        if (requests > 0) {
            log.log(LogEvent.REQUESTS_ENDED, Field.of("after_ms", since), Field.of("requests", requests));
        }
    }

    /** Starts a graceful shutdown: the instance becomes not ready and serves the requests that end before it stops. */
    public void drain() {
        Duration signalled = clock.elapsed();
        loop.execute(() -> {
            if (drainingSince == null) {
                drainingSince = signalled;
                context.admission()
                        .shutDown(
                                drainingSince,
                                drainingSince.plus(shutdownPlan.endOfRequests()),
                                drainingSince.plus(shutdownPlan.endOfResponses()));
                stages.releaseLease();
                log.log(LogEvent.INSTANCE_DRAINING, Field.of("requests", front.requestsInProgress()));
            }
        });
    }

    /** Waits until the shutdown is complete, then closes the instance. */
    public void awaitTermination() throws InterruptedException {
        terminated.await();
        close();
    }

    /** Closes all connections and stops the event loop at once. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }

    /** Returns whether callers may be sent here: configuration and servers are known and the instance is not draining. */
    public boolean ready() {
        return drainingSince == null && router.config().isPresent() && serverEvents.hasServerList();
    }

    @Override
    public CallerLimits limits() {
        return router.config().map(GatewayConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    @Override
    public boolean draining() {
        return drainingSince != null;
    }

    @Override
    public void connectionFailed(Throwable cause) {
        GuardedTask.logError(log, "connection", cause);
    }

    /** Returns the id of the instance. */
    public InstanceId instance() {
        return settings.instance();
    }
}
