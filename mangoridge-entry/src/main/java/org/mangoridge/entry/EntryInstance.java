package org.mangoridge.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.config.spread.AgentTiming;
import org.mangoridge.config.spread.ConfigAgent;
import org.mangoridge.config.spread.ConfigPeers;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.http.HttpModelEngine;
import org.mangoridge.engine.plain.HttpPlainService;
import org.mangoridge.entry.accounts.AccountLedger;
import org.mangoridge.entry.audit.OrderTrail;
import org.mangoridge.entry.auth.OperatorAuthenticator;
import org.mangoridge.entry.config.AuditPages;
import org.mangoridge.entry.config.ConfigCalls;
import org.mangoridge.entry.config.ConfigEndpoint;
import org.mangoridge.entry.config.ConfigFollower;
import org.mangoridge.entry.config.ConfigInForce;
import org.mangoridge.entry.config.PeerConfigs;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.entry.model.LoadPoller;
import org.mangoridge.entry.model.ModelRequestHandler;
import org.mangoridge.entry.model.RoutingDriver;
import org.mangoridge.entry.orders.OrderLoop;
import org.mangoridge.entry.peers.InFlightCounter;
import org.mangoridge.entry.peers.OrphanSweeper;
import org.mangoridge.entry.peers.PeerEvents;
import org.mangoridge.entry.peers.PeerNode;
import org.mangoridge.entry.plain.PlainRequestHandler;
import org.mangoridge.entry.reply.RequestIds;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.platform.ObjectStore;
import org.mangoridge.platform.budget.BudgetedStore;
import org.mangoridge.platform.budget.CallBudget;
import org.mangoridge.platform.budget.CallPurpose;
import org.mangoridge.platform.http.HttpObjectStore;
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
    private static final int CALLER_EVENT_LOOPS = 2;
    private static final int OPERATOR_EVENT_LOOPS = 1;
    private static final int MAX_OPERATOR_BODY_BYTES = 16 << 20;

    private final Deque<AutoCloseable> parts = new ArrayDeque<>();
    private final Owner owner;
    private volatile ConfigFollower follower;
    private PeerNode peers;
    private WebServer callerServer;
    private WebServer operatorServer;

    private EntryInstance(Owner owner) {
        this.owner = owner;
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
        Owner owner = new Owner(settings.id(), Incarnation.of(clock.now().toEpochMilli()));
        EntryInstance instance = new EntryInstance(owner);
        try {
            instance.wire(settings, policy, clock, random);
        } catch (RuntimeException e) {
            instance.close();
            throw e;
        }
        EventLog.write(
                LogEvent.INSTANCE_STARTED,
                Field.of("instance", owner),
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

    private void wire(InstanceSettings settings, RoutingPolicy policy, Clock clock, RandomGenerator random) {
        ControlLoop control = own(ControlLoop.start("control-" + settings.id()));
        HttpTransport transport = own(HttpTransport.create(CONNECT_TIMEOUT));
        MetricRegistry metrics = new MetricRegistry();
        AccountLedger accounts = AccountLedger.create(control, metrics);
        InFlightCounter counter = InFlightCounter.around(policy);
        RoutingDriver driver = RoutingDriver.create(control, clock, counter);
        control.every(TICK, () -> driver.tell(new RoutingEvent.Tick()));
        EngineDirectory engines = address -> HttpModelEngine.create(transport, address);
        ObjectStore store = HttpObjectStore.create(transport, settings.platformAddress(), PLATFORM_TIMEOUT);
        CallBudget budget = CallBudget.full(clock.elapsed());
        AuditLog audit = AuditLog.create(
                BudgetedStore.of(store, budget, CallPurpose.AUDIT, clock), AuditLog.zoneTrail(settings.zone()), random);
        OrphanSweeper sweeper =
                own(OrphanSweeper.create(control, clock, engines, () -> config().deployment(), () -> peers.view()));
        peers = own(PeerNode.start(
                settings,
                owner,
                control,
                clock,
                random,
                known -> PeerConfigs.answer(follower, known),
                counter,
                new PeerEvents(driver, sweeper)));
        control.post(() -> sweeper.gone(formerRuns()));
        control.every(SWEEP_TICK, sweeper::tick);
        ConfigPeers configPeers = PeerConfigs.create(peers, random);
        ObjectStore configStore = BudgetedStore.of(store, budget, CallPurpose.CONFIGURATION, clock);
        ConfigCalls configCalls = ConfigCalls.create(configStore, configPeers, audit, settings.id(), clock);
        follower = own(follow(settings, configCalls, configPeers, driver, clock, random));
        peers.followList(configStore, () -> follower.isWatcher());
        own(LoadPoller.start(engines, driver, clock, () -> config().deployment()));
        own(OrderLoop.create(
                        control, clock, owner, settings.zone(), store, engines, new OrderTrail(audit, owner, clock)))
                .start(() -> config().deployment(), service -> true);
        ModelRequestHandler models = ModelRequestHandler.create(driver, engines, owner, clock, accounts);
        PlainRequestHandler plain = PlainRequestHandler.create(HttpPlainService.create(transport), random, accounts);
        CallerEndpoint callers = new CallerEndpoint(RequestIds.of(owner), this::config, () -> false, models, plain);
        OperatorEndpoint operators = new OperatorEndpoint(
                owner,
                this::config,
                metrics,
                accounts,
                configEndpoint(
                        settings,
                        BudgetedStore.of(store, budget, CallPurpose.OPERATORS, clock),
                        configPeers,
                        clock,
                        random),
                () -> follower,
                peers::view);
        operatorServer = own(
                WebServer.start(settings.operatorAddress(), MAX_OPERATOR_BODY_BYTES, OPERATOR_EVENT_LOOPS, operators));
        callerServer =
                own(WebServer.start(settings.callerAddress(), settings.maxBodyBytes(), CALLER_EVENT_LOOPS, callers));
    }

    private ConfigFollower follow(
            InstanceSettings settings,
            ConfigCalls calls,
            ConfigPeers configPeers,
            RoutingDriver driver,
            Clock clock,
            RandomGenerator random) {
        AgentTiming timing =
                AgentTiming.standard().expectingPeers(!settings.seeds().isEmpty());
        ConfigAgent agent = ConfigAgent.create(settings.id(), timing, random);
        return ConfigFollower.start(agent, calls, configPeers::view, clock, config -> {
            driver.tell(new RoutingEvent.DeploymentAdopted(config.deployment()));
            peers.adopted(config.generation());
        });
    }

    private ConfigEndpoint configEndpoint(
            InstanceSettings settings,
            ObjectStore store,
            ConfigPeers configPeers,
            Clock clock,
            RandomGenerator random) {
        AuditLog refusals = AuditLog.create(store, AuditLog.REFUSALS, random);
        return ConfigEndpoint.create(
                OperatorAuthenticator.of(settings.operators()),
                Publisher.create(store, refusals, clock),
                AuditPages.create(store),
                () -> follower.published(),
                settings.id().value(),
                configPeers);
    }

    /** Returns the last run that this instance may have had before; whatever it held is orphaned. */
    private Owner formerRuns() {
        long last = Math.max(0, owner.incarnation().value() - 1);
        return new Owner(owner.instance(), Incarnation.of(last));
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
