package org.mangoridge.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.mangoridge.claims.store.ClaimRunner;
import org.mangoridge.claims.store.ClaimSweeper;
import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.config.distribution.AgentTiming;
import org.mangoridge.config.distribution.ConfigAgent;
import org.mangoridge.config.distribution.ConfigPeers;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.http.HttpModelEngine;
import org.mangoridge.engine.plain.HttpPlainService;
import org.mangoridge.entry.accounts.AccountLedger;
import org.mangoridge.entry.auth.OperatorAuthenticator;
import org.mangoridge.entry.config.AuditPages;
import org.mangoridge.entry.config.ConfigCalls;
import org.mangoridge.entry.config.ConfigEndpoint;
import org.mangoridge.entry.config.ConfigFollower;
import org.mangoridge.entry.config.ConfigInForce;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.entry.lifecycle.Drain;
import org.mangoridge.entry.lifecycle.DrainAudit;
import org.mangoridge.entry.lifecycle.DrainEndpoint;
import org.mangoridge.entry.lifecycle.DrainState;
import org.mangoridge.entry.metrics.InstanceGauges;
import org.mangoridge.entry.model.CancelSender;
import org.mangoridge.entry.model.LoadPoller;
import org.mangoridge.entry.model.ModelRequestHandler;
import org.mangoridge.entry.model.RoutingDriver;
import org.mangoridge.entry.orders.OrderAudit;
import org.mangoridge.entry.orders.OrderLoop;
import org.mangoridge.entry.orders.PersistentOrderAudit;
import org.mangoridge.entry.peers.InFlightCounter;
import org.mangoridge.entry.peers.OrphanSweeper;
import org.mangoridge.entry.peers.PeerConfigs;
import org.mangoridge.entry.peers.PeerEvents;
import org.mangoridge.entry.peers.PeerNode;
import org.mangoridge.entry.plain.ClaimUpkeep;
import org.mangoridge.entry.plain.ClaimedCalls;
import org.mangoridge.entry.plain.PlainRequestHandler;
import org.mangoridge.entry.reply.RequestIdGenerator;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.budget.BudgetedStore;
import org.mangoridge.objects.budget.CallBudget;
import org.mangoridge.objects.budget.CallPurpose;
import org.mangoridge.objects.http.HttpObjectStore;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.Rendezvous;
import org.mangoridge.peer.membership.ServingState;
import org.mangoridge.peer.rpc.PeerConfig;
import org.mangoridge.routing.RoutingEvent;
import org.mangoridge.routing.RoutingPolicy;
import org.mangoridge.settings.InstanceSettings;
import org.mangoridge.web.WebServer;

/** One running entry instance. */
public final class EntryInstance implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration SWEEP_TICK = Duration.ofMillis(250);
    private static final Duration GIVE_BACK_TICK = Duration.ofMillis(100);
    private static final int LEASE_CANDIDATES = 2;
    private static final int CLAIM_WRITE_BURST = 80;
    private static final int PLAIN_RETRIES_PER_SECOND = 5;
    private static final int PLAIN_RETRY_BURST = 20;
    private static final int CALLER_EVENT_LOOPS = 2;
    private static final int OPERATOR_EVENT_LOOPS = 1;
    private static final int MAX_OPERATOR_BODY_BYTES = 16 << 20;

    private final Deque<AutoCloseable> parts = new ArrayDeque<>();
    private final InstanceSettings settings;
    private final Clock clock;
    private final RandomGenerator random;
    private final Owner owner;
    private final ControlLoop control;
    private final HttpTransport transport;
    private final MetricRegistry metrics = new MetricRegistry();
    private final AccountLedger accounts;
    private final InFlightCounter inFlight;
    private final RoutingDriver driver;
    private final EngineDirectory engines;
    private final ObjectStore store;
    private final CallBudget budget;
    private final AuditLog audit;
    private volatile ConfigFollower follower;
    private PeerNode peers;
    private OrderLoop orders;
    private Drain drain;
    private volatile WebServer callerServer;
    private WebServer operatorServer;

    private EntryInstance(InstanceSettings settings, RoutingPolicy policy, Clock clock, RandomGenerator random) {
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        owner = new Owner(settings.id(), Incarnation.of(clock.now().toEpochMilli()));
        control = own(ControlLoop.start("control-" + settings.id()));
        transport = own(HttpTransport.create(CONNECT_TIMEOUT, clock, random));
        accounts = AccountLedger.create(control, metrics, clock);
        inFlight = InFlightCounter.around(policy);
        driver = RoutingDriver.create(control, clock, inFlight);
        engines = address -> HttpModelEngine.create(transport, address);
        store = HttpObjectStore.create(transport, settings.platformAddress(), PLATFORM_TIMEOUT);
        budget = CallBudget.create(clock.elapsed());
        audit = AuditLog.create(storeFor(CallPurpose.AUDIT), AuditLog.zoneTrail(settings.zone()), random);
    }

    /**
     * Starts an instance.
     *
     * @param settings its settings
     * @param policy decides about model requests
     * @param random draws random numbers; safe for use by several threads
     * @throws IllegalStateException if an address can't be listened on
     */
    public static EntryInstance start(
            InstanceSettings settings, RoutingPolicy policy, Clock clock, RandomGenerator random) {
        EntryInstance instance = new EntryInstance(settings, policy, clock, random);
        try {
            instance.startMembership();
            instance.startConfiguration();
            instance.startOrders();
            instance.startServers();
        } catch (RuntimeException e) {
            instance.close();
            throw e;
        }
        EventLog.write(
                LogEvent.INSTANCE_STARTED,
                Field.of("instance", instance.owner),
                Field.of("zone", settings.zone()),
                Field.of("peers", instance.peerAddress()),
                Field.of("callers", instance.callerAddress()),
                Field.of("operators", instance.operatorAddress()));
        return instance;
    }

    /** Returns the address that callers connect to. */
    public HostPort callerAddress() {
        return callerServer.address();
    }

    /** Returns the address that other instances connect to. */
    public HostPort peerAddress() {
        return peers.address();
    }

    /** Returns the address that operators connect to. */
    public HostPort operatorAddress() {
        return operatorServer.address();
    }

    /** Returns the instance's shutdown, which can be asked for and waited for. */
    public Drain drain() {
        return drain;
    }

    /** Stops at once; requests in progress are cut. */
    @Override
    public void close() {
        while (!parts.isEmpty()) {
            try {
                parts.pop().close();
            } catch (Exception e) {
                EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "close"));
            }
        }
        EventLog.write(LogEvent.INSTANCE_STOPPED, Field.of("instance", owner));
    }

    private void startMembership() {
        OrphanSweeper sweeper =
                own(OrphanSweeper.create(control, clock, engines, () -> config().deployment(), () -> peers.view()));
        peers = own(PeerNode.start(
                settings,
                owner,
                control,
                clock,
                random,
                this::configNewerThan,
                inFlight,
                new PeerEvents(driver, sweeper)));
        control.post(() -> sweeper.gone(formerRuns()));
        control.every(SWEEP_TICK, sweeper::tick);
        peers.followList(storeFor(CallPurpose.CONFIGURATION));
    }

    private void startConfiguration() {
        ConfigPeers configPeers = PeerConfigs.of(() -> peers);
        AgentTiming timing =
                AgentTiming.standard().expectingPeers(!settings.seeds().isEmpty());
        ConfigCalls calls =
                ConfigCalls.create(storeFor(CallPurpose.CONFIGURATION), configPeers, audit, settings.id(), clock);
        follower = own(ConfigFollower.start(
                ConfigAgent.create(settings.id(), timing, random), calls, configPeers::view, clock, this::adopted));
    }

    private void adopted(ConfigInForce config) {
        driver.post(new RoutingEvent.DeploymentAdopted(config.deployment()));
        peers.adopted(config.generation());
    }

    private void startOrders() {
        OrderAudit orderAudit = PersistentOrderAudit.create(audit, owner, clock);
        ObjectStore leases = storeFor(CallPurpose.LEASES);
        orders = own(OrderLoop.create(control, clock, owner, settings.zone(), leases, engines, orderAudit))
                .start(() -> config().deployment(), this::isLeaseCandidate);
    }

    private void startServers() {
        InstanceGauges.of(metrics)
                .registerResourceUsage(control.thread())
                .register("config.generation", () -> config().generation().value())
                .register("peers.live", () -> peers.view().live().size())
                .register("requests.open", () -> callerServer == null ? 0 : callerServer.openRequests());
        control.every(TICK, () -> driver.post(new RoutingEvent.Tick()));
        own(LoadPoller.start(engines, driver, clock, () -> config().deployment()));
        CancelSender cancels = own(CancelSender.create(engines));
        ModelRequestHandler models = ModelRequestHandler.create(driver, engines, cancels, owner, clock, accounts);
        PlainRequestHandler plain = PlainRequestHandler.create(
                HttpPlainService.create(transport),
                claimedCalls(),
                TokenBucket.create(clock, PLAIN_RETRIES_PER_SECOND, PLAIN_RETRY_BURST),
                random,
                accounts);
        drain = Drain.create(
                control,
                clock,
                DrainState.create(settings.drainDelay(), settings.drainTimeout()),
                () -> callerServer == null ? 0 : callerServer.openRequests(),
                new DrainEffects());
        CallerEndpoint callers =
                new CallerEndpoint(RequestIdGenerator.of(owner), this::config, drain::phase, models, plain);
        DrainAudit drainAudit = DrainAudit.create(audit, owner, clock, Thread::startVirtualThread);
        OperatorEndpoint operators = new OperatorEndpoint(
                owner,
                this::config,
                metrics,
                accounts,
                configEndpoint(),
                () -> follower,
                peers::view,
                drain::phase,
                DrainEndpoint.create(drain, OperatorAuthenticator.of(settings.operators()), drainAudit));
        operatorServer = own(
                WebServer.start(settings.operatorAddress(), MAX_OPERATOR_BODY_BYTES, OPERATOR_EVENT_LOOPS, operators));
        callerServer =
                own(WebServer.start(settings.callerAddress(), settings.maxBodyBytes(), CALLER_EVENT_LOOPS, callers));
    }

    /** Claims keep to a budget of their own, since their rate is that of orders, not of control. */
    private ClaimedCalls claimedCalls() {
        TokenBucket writes = TokenBucket.create(clock, CLAIM_WRITE_BURST, CLAIM_WRITE_BURST);
        own(ClaimUpkeep.start(() -> peers.view().live().size(), writes, ClaimSweeper.create(store, clock, writes)));
        return ClaimedCalls.create(own(ClaimRunner.create(store, clock)), writes, owner, clock);
    }

    private ConfigEndpoint configEndpoint() {
        ObjectStore operatorStore = storeFor(CallPurpose.OPERATORS);
        AuditLog refusals = AuditLog.create(operatorStore, AuditLog.REFUSALS, random);
        return ConfigEndpoint.create(
                OperatorAuthenticator.of(settings.operators()),
                Publisher.create(operatorStore, refusals, clock),
                AuditPages.create(operatorStore),
                () -> follower.published(),
                settings.id().value(),
                PeerConfigs.of(() -> peers));
    }

    private ObjectStore storeFor(CallPurpose purpose) {
        return BudgetedStore.of(store, budget, purpose, clock);
    }

    /** What a shutdown does here. */
    private final class DrainEffects implements Drain.Effects {

        @Override
        public void tellDraining() {
            peers.changeState(ServingState.DRAINING);
            control.every(GIVE_BACK_TICK, orders::releaseLeases);
        }

        @Override
        public void cutRequests() {
            callerServer.interruptRequests();
        }

        @Override
        public void tellStopped() {
            peers.changeState(ServingState.STOPPED);
        }
    }

    /** Returns the last run that this instance may have had before; whatever it held is orphaned. */
    private Owner formerRuns() {
        long last = Math.max(0, owner.incarnation().value() - 1);
        return new Owner(owner.instance(), Incarnation.of(last));
    }

    private PeerConfig configNewerThan(Generation known) {
        ConfigFollower current = follower;
        return current == null
                ? PeerConfig.nothingNewer(Generation.of(0))
                : PeerConfigs.answer(current.history(), known);
    }

    /** Tells whether this instance is among the few of its zone that watch the lease of {@code service}. */
    private boolean isLeaseCandidate(ServiceId service) {
        List<InstanceId> zone =
                peers.view().liveInZone().stream().map(Member::id).toList();
        return Rendezvous.rank("lease/" + service, zone).stream()
                .limit(LEASE_CANDIDATES)
                .anyMatch(owner.instance()::equals);
    }

    private ConfigInForce config() {
        ConfigFollower current = follower;
        return current == null ? ConfigInForce.none() : current.inForce();
    }

    private <T extends AutoCloseable> T own(T part) {
        parts.push(part);
        return part;
    }
}
