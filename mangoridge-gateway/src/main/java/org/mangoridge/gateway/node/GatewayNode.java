package org.mangoridge.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.gateway.balance.EngineBalancer;
import org.mangoridge.gateway.balance.LoadTracker;
import org.mangoridge.gateway.balance.PlainBalancer;
import org.mangoridge.gateway.balance.PrefillTimeEstimator;
import org.mangoridge.gateway.balance.RetryBudget;
import org.mangoridge.gateway.balance.ServerHealthTracker;
import org.mangoridge.gateway.config.CallerLimits;
import org.mangoridge.gateway.config.GatewayConfig;
import org.mangoridge.gateway.directory.ServerDirectory;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.exchange.GatewayContext;
import org.mangoridge.gateway.exchange.GatewayMetrics;
import org.mangoridge.gateway.exchange.RequestRouter;
import org.mangoridge.gateway.follow.Follower;
import org.mangoridge.gateway.gossip.LoadGossipTransport;
import org.mangoridge.gateway.gossip.LoadReport;
import org.mangoridge.gateway.gossip.PeerTable;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.net.BodyMemory;
import org.mangoridge.gateway.net.FrontServer;
import org.mangoridge.gateway.net.FrontState;
import org.mangoridge.gateway.net.UpstreamPool;
import org.mangoridge.gateway.request.WireDialect;
import org.mangoridge.gateway.stage.StageController;

/** An entry instance: binds decisions to connections, timers and the store, all on one event loop. */
public final class GatewayNode implements FrontState, AutoCloseable {

    private static final Duration TICK = Duration.ofMillis(100);
    /** A tick that is late by more than this shows that the process stood still. */
    private static final Duration PAUSE_SHOWN = Duration.ofMillis(1500);

    private static final Duration SWEEP = Duration.ofSeconds(1);
    /** The part of the process's memory that bodies of requests may take. */
    private static final int BODY_MEMORY_PART = 12;
    /** The part of the descriptors that connections of callers may take. */
    private static final double FRONT_DESCRIPTORS = 0.6;
    /** How long after the signal to end streams are still taken; a stream takes seconds. */
    private static final Duration TAKES_STREAMS = Duration.ofMillis(2900);
    /** How long before the process is killed no request is taken any more. */
    private static final Duration LAST_REQUESTS = Duration.ofMillis(1800);
    /** Entries of servers gather for this long: a third of the shortest time in which a leaving server is known. */
    private static final Duration SERVER_REST = Duration.ofMillis(600);
    /** Configurations come rarely, and must be in force within two seconds. */
    private static final Duration CONFIG_REST = Duration.ofMillis(100);
    /** How long after a peer this instance may learn of a configuration before it asks for itself. */
    private static final Duration CONFIG_LAG = Duration.ofMillis(400);

    /** The same for servers: their changes gather for a while before they are asked for. */
    private static final Duration SERVERS_LAG = SERVER_REST.plusMillis(300);

    private final GatewaySettings settings;
    private final Clock clock;
    private final EventSink log;
    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final GatewayContext context;
    private final RequestRouter router;
    private final FrontServer front;
    private FrontServer status;
    private FrontServer metrics;
    private final LoadGossipTransport exchange;
    private final PeerTable peers;
    private final Follower<GatewayConfig> configFollower;
    private final Follower<ServerEntry> serverFollower;
    private final ServerEvents serverEvents;
    private final StageController stages;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Duration lastTick;
    private Duration lastSweep = Duration.ZERO;
    private Duration leavingSince;
    private final ShutdownPlan endPlan;
    private long askedForConfig = -1;
    private long askedForServers = -1;
    private boolean wasReady;
    private boolean stopped;

    private GatewayNode(
            GatewaySettings settings,
            Clock clock,
            RandomGenerator random,
            EventSink log,
            WireDialect dialect,
            BiFunction<EventLoop, UpstreamPool, GatewayFeeds> feeds) {
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.endPlan = ShutdownPlan.of(settings.grace());
        this.group = new NioEventLoopGroup(1);
        this.loop = group.next();
        UpstreamPool pool = UpstreamPool.create(loop, clock);
        ServerDirectory directory = ServerDirectory.create();
        LoadTracker loads = LoadTracker.create();
        ServerHealthTracker tracks = ServerHealthTracker.create();
        PrefillTimeEstimator pace = PrefillTimeEstimator.create();
        RetryBudget budget =
                RetryBudget.create(settings.retryRatio(), settings.retryAllowance(), settings.retryWindow());
        this.context = new GatewayContext(
                loop,
                clock,
                random,
                dialect,
                pool,
                directory,
                loads,
                tracks,
                pace,
                budget,
                PlainBalancer.create(loads, tracks, settings.zone(), random),
                EngineBalancer.create(loads, tracks, pace, settings.zone()),
                GatewayMetrics.create(),
                log);
        this.router = RequestRouter.create(context);
        this.peers = PeerTable.create(settings.peer(), settings.seeds(), random);
        this.exchange = LoadGossipTransport.create(
                loop,
                clock,
                new LoadReport.Origin(
                        settings.instance(),
                        clock.now().toEpochMilli(),
                        settings.peer(),
                        settings.zone(),
                        settings.milliCores()),
                peers,
                loads,
                this::seen,
                this::peersReported,
                log);
        loads.onOwnChange(exchange::loadChanged);
        BodyMemory memory = BodyMemory.of(settings.memoryBytes() / BODY_MEMORY_PART);
        int maxConnections = (int) (settings.maxDescriptors() * FRONT_DESCRIPTORS);
        this.front = FrontServer.create(loop, clock, this, router, memory, maxConnections);
        GatewayFeeds sources = feeds.apply(loop, pool);
        this.stages = StageController.create(
                settings.instance(), settings.handoverDelay(), clock, log, loads, sources.orders(), sources.lease());
        this.serverEvents = new ServerEvents(context, router::placeWaitingRequests);
        this.serverFollower = Follower.create(sources.servers(), serverEvents, SERVER_REST, this::later, random);
        this.configFollower = Follower.create(
                sources.configs(), new ConfigEvents(router, log, context.metrics()), CONFIG_REST, this::later, random);
    }

    /**
     * Returns an instance that does not run yet.
     *
     * @param feeds makes the sources of configuration and servers, on the instance's event loop
     */
    public static GatewayNode create(
            GatewaySettings settings,
            Clock clock,
            RandomGenerator random,
            EventSink log,
            WireDialect dialect,
            BiFunction<EventLoop, UpstreamPool, GatewayFeeds> feeds) {
        return new GatewayNode(settings, clock, random, log, dialect, feeds);
    }

    /** Listens, follows the store and serves. */
    public void start() throws InterruptedException {
        front.listen(settings.front()).sync();
        status = FrontServer.create(
                loop, clock, this, new StatusHandler(this, context.metrics()), BodyMemory.of(1 << 16), 64);
        status.listen(settings.ready()).sync();
        metrics = FrontServer.create(
                loop, clock, this, new StatusHandler(this, context.metrics()), BodyMemory.of(1 << 16), 16);
        metrics.listen(settings.metrics()).sync();
        exchange.start(settings.peer()).sync();
        loop.submit(this::begin).sync();
        log.log(
                LogEvent.INSTANCE_STARTED,
                Field.of("zone", settings.zone()),
                Field.of("front", settings.front()),
                Field.of("ready", settings.ready()),
                Field.of("peer", settings.peer()),
                Field.of("metrics", settings.metrics()));
    }

    private void begin() {
        lastTick = clock.elapsed();
        loop.scheduleWithFixedDelay(this::guardedTick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
        configFollower.restart();
        serverFollower.restart();
    }

    private void later(Duration delay, Runnable task) {
        loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Room that a peer gave back is found at the next look of the requests that wait. */
    private void peersReported() {
        LoadReport.Seen newest = peers.newest();
        long config = newest.configVersion();
        if (config > configVersion() && config > askedForConfig) {
            askedForConfig = config;
            later(CONFIG_LAG, () -> {
                if (configVersion() < config) {
                    configFollower.restart();
                }
            });
        }
        long servers = newest.serversRevision();
        if (servers > serverFollower.revision() && servers > askedForServers) {
            askedForServers = servers;
            later(SERVERS_LAG, () -> {
                if (serverFollower.revision() < servers) {
                    serverFollower.restartWatch();
                }
            });
        }
    }

    private long configVersion() {
        return router.config().map(GatewayConfig::version).orElse(-1L);
    }

    private LoadReport.Seen seen() {
        return new LoadReport.Seen(configVersion(), serverFollower.newestChange());
    }

    /** A task that throws is not run again by the event loop; an instance without its tick knows no time any more. */
    private void guardedTick() {
        try {
            tick();
        } catch (RuntimeException e) {
            log.log(LogEvent.INTERNAL_ERROR, Field.of("where", "tick"), Field.of("detail", e));
        }
    }

    private void tick() {
        Duration now = clock.elapsed();
        Duration late = now.minus(lastTick).minus(TICK);
        lastTick = now;
        if (late.compareTo(PAUSE_SHOWN) > 0) {
            log.log(LogEvent.INSTANCE_PAUSED, Field.of("for_ms", late));
            context.pool().evictAll();
            configFollower.restart();
            serverFollower.restart();
        }
        serverEvents.expire(now);
        exchange.tick();
        List.of(front, status, metrics).forEach(FrontServer::closeTimedOut);
        if (now.minus(lastSweep).compareTo(SWEEP) >= 0) {
            lastSweep = now;
            context.pool().sweep();
        }
        tellReadiness();
        if (leavingSince == null) {
            stages.tick(this::modelServers, peers.isFirst(settings.instance()));
        }
        if (leavingSince != null && !stopped) {
            leave(now);
        }
    }

    /** Returns the servers of the model service; of several services the first by name is looked after. */
    private List<ServerEntry> modelServers() {
        return router.config()
                .flatMap(GatewayConfig::firstModelService)
                .map(context.directory()::usable)
                .orElse(List.of());
    }

    private void tellReadiness() {
        boolean ready = ready();
        if (ready != wasReady) {
            wasReady = ready;
            log.log(LogEvent.READINESS_CHANGED, Field.of("ready", ready));
        }
    }

    private void leave(Duration now) {
        Duration since = now.minus(leavingSince);
        switch (endPlan.next(since, front.requestsInProgress())) {
            case REFUSE -> {
                router.refuseAll();
                front.stopListening();
                front.closeIdle();
            }
            case END -> {
                stopped = true;
                log.log(
                        LogEvent.INSTANCE_STOPPED,
                        Field.of("after_ms", since),
                        Field.of("requests_cut", front.requestsInProgress()),
                        Field.of("connections", front.connectionCount()));
                exchange.leave();
                ended.countDown();
            }
            default -> {
                // Requests are in progress, or the balancer still sends callers.
            }
        }
    }

    /** Begins to end: the balancer is told, requests in progress and those still sent here are served. */
    public void drain() {
        loop.execute(() -> {
            if (leavingSince == null) {
                leavingSince = clock.elapsed();
                later(TAKES_STREAMS, router::refuseStreams);
                later(settings.grace().minus(LAST_REQUESTS), router::refuseAll);
                stages.releaseLease();
                log.log(LogEvent.INSTANCE_DRAINING, Field.of("requests", front.requestsInProgress()));
            }
        });
    }

    /** Waits until the instance has ended. */
    public void awaitTermination() throws InterruptedException {
        ended.await();
        close();
    }

    /** Ends at once; connections are closed. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }

    /** Tells whether callers may be sent here: a configuration and servers are known, and the instance stays. */
    public boolean ready() {
        return leavingSince == null && router.config().isPresent() && serverEvents.listed();
    }

    @Override
    public CallerLimits limits() {
        return router.config().map(GatewayConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    @Override
    public boolean draining() {
        return leavingSince != null;
    }

    /** Returns the instance's id. */
    public InstanceId instance() {
        return settings.instance();
    }
}
