package org.mangoridge.bench;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.mangoridge.bench.load.TrafficClass;
import org.mangoridge.bench.scenario.Fleet;
import org.mangoridge.bench.scenario.SystemStep;
import org.mangoridge.config.ApplyId;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.EntryInstance;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.http.HttpObjectStore;
import org.mangoridge.routing.PolicyName;
import org.mangoridge.routing.RoutingPolicies;
import org.mangoridge.settings.InstanceSettings;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.platform.PlatformStandIn;
import org.mangoridge.standin.service.ServiceStandIn;

/** Entry instances, engines, plain services and the platform of one deployment, all on loopback in this process. */
final class BenchSystem implements AutoCloseable {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int INSTANCES = 6;
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final Duration KILL_TIME = Duration.ofSeconds(1);
    private static final Duration FREED_POLL = Duration.ofMillis(50);
    private static final String OPERATOR = "bench";
    private static final String SECRET = "bench-secret-";

    private final List<AutoCloseable> servers = new ArrayList<>();
    private final EngineFleet engines = new EngineFleet();
    private final Map<Integer, EntryInstance> instances = new ConcurrentSkipListMap<>();
    private final Map<String, String> keys = new HashMap<>();
    private final List<Duration> memoryFreed = new CopyOnWriteArrayList<>();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpTransport transport = HttpTransport.create(TIMEOUT);
    private final Fleet fleet;
    private final PolicyName policy;
    private final Clock clock;
    private final long seed;
    private final PlatformStandIn platform;
    private Balancer balancer;

    private BenchSystem(Fleet fleet, PolicyName policy, Clock clock, long seed) {
        this.fleet = fleet;
        this.policy = policy;
        this.clock = clock;
        this.seed = seed;
        this.platform = own(PlatformStandIn.start(ANY_PORT));
    }

    /** Starts everything and waits until each instance is ready. */
    static BenchSystem start(Fleet fleet, PolicyName policy, Clock clock, long seed) throws InterruptedException {
        BenchSystem system = new BenchSystem(fleet, policy, clock, seed);
        try {
            system.publish(system.startServers());
            for (int number = 1; number <= INSTANCES; number++) {
                system.startInstance(number);
            }
            system.balancer = Balancer.start(() -> List.copyOf(system.instances.values()));
            return system;
        } catch (RuntimeException | InterruptedException e) {
            system.close();
            throw e;
        }
    }

    /** Returns the address for the next request. */
    HostPort nextCallerAddress() {
        return balancer.next();
    }

    /** Returns the engines. */
    EngineFleet engines() {
        return engines;
    }

    /** Returns for each instance that was killed how long the engines went on to hold something for it. */
    List<Duration> memoryFreed() {
        return List.copyOf(memoryFreed);
    }

    /** Returns the key of each caller. */
    Map<String, String> keys() {
        return keys;
    }

    /** Lets something happen to the system. */
    void apply(SystemStep step) {
        switch (step) {
            case SystemStep.InstanceKilled killed -> kill(killed.number());
            case SystemStep.InstanceStarted started -> startInstance(started.number());
            case SystemStep.PlatformOutage outage -> platform.faults().outage(outage.down());
        }
    }

    @Override
    public void close() {
        if (balancer != null) {
            balancer.close();
        }
        threads.shutdownNow();
        closeAll(instances.values());
        closeAll(engines.all());
        closeAll(servers);
        transport.close();
    }

    /** Closes parts side by side, since each waits for its connections to end. */
    private static void closeAll(Collection<? extends AutoCloseable> parts) {
        try (ExecutorService closers = Executors.newVirtualThreadPerTaskExecutor()) {
            parts.forEach(part -> closers.submit(() -> {
                part.close();
                return null;
            }));
        }
    }

    /** Ends an instance so that nothing it does on the way out reaches an engine. */
    private void kill(int number) {
        EntryInstance instance = instances.remove(number);
        Duration killed = clock.elapsed();
        Set<String> held = engines.heldBy(id(number));
        engines.sever(id(number), KILL_TIME);
        threads.execute(instance::close);
        threads.execute(() -> awaitFreed(id(number), held, killed));
    }

    /** Waits until engines hold none of the attempts that they held for an instance when it was killed. */
    private void awaitFreed(InstanceId instance, Set<String> held, Duration killed) {
        try {
            while (!Collections.disjoint(engines.heldBy(instance), held)) {
                Thread.sleep(FREED_POLL);
            }
            memoryFreed.add(clock.elapsed().minus(killed));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void publish(String config) {
        ObjectStore store = HttpObjectStore.create(transport, platform.address(), TIMEOUT);
        AuditLog audit = AuditLog.create(store, AuditLog.REFUSALS, new Random(seed));
        Publisher.create(store, audit, clock).applyText(ApplyId.of("bench-1"), OPERATOR, config);
    }

    private String startServers() {
        StringBuilder config = new StringBuilder(services());
        fleet.classes().forEach(callerClass -> config.append(callersOf(callerClass)));
        for (int number = 1; number <= fleet.prefillServers(); number++) {
            config.append(engine(fleet.prefillServer(number), fleet.prefillProfile(), number));
        }
        for (int number = 1; number <= fleet.decodeServers(); number++) {
            config.append(engine(fleet.decodeServer(number), fleet.decodeProfile(), number));
        }
        for (int number = 1; number <= fleet.plainServers(); number++) {
            HostPort address = own(ServiceStandIn.start(ANY_PORT)).address();
            config.append(server("plain-" + number, address, number, "plain", fleet.plainService()));
        }
        return config.toString();
    }

    private void startInstance(int number) {
        AvailabilityZone zone = AvailabilityZone.of(fleet.zone(number - 1));
        InstanceSettings settings = new InstanceSettings(
                id(number),
                zone,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                platform.address(),
                instances.values().stream().map(EntryInstance::peerAddress).toList(),
                MAX_BODY_BYTES,
                TIMEOUT,
                TIMEOUT,
                Map.of());
        instances.put(
                number,
                EntryInstance.start(
                        settings,
                        RoutingPolicies.create(policy, zone, new Random(seed - number)),
                        clock,
                        new Random(seed + number)));
    }

    private static InstanceId id(int number) {
        return InstanceId.of("entry-" + number);
    }

    private String services() {
        return """
                [service %s]
                kind = model
                model = %s
                version = %s
                [service %s]
                kind = plain
                """.formatted(
                        fleet.service(), fleet.model(), fleet.decodeProfile().version(), fleet.plainService());
    }

    private String callersOf(TrafficClass callerClass) {
        StringBuilder section = new StringBuilder("""
                [class %s]
                first-token = %dms
                per-token = %dms
                can-wait = %s
                """.formatted(
                        callerClass.name(),
                        callerClass.firstToken().toMillis(),
                        callerClass.perToken().toMillis(),
                        callerClass.canWait() ? "yes" : "no"));
        if (callerClass.canWait()) {
            section.append("max-wait = %dms\n".formatted(callerClass.maxWait().toMillis()));
        }
        for (int number = 1; number <= callerClass.callers(); number++) {
            String caller = callerClass.caller(number);
            KeyHash hash = KeyHash.of(caller.getBytes(StandardCharsets.UTF_8), SECRET + caller);
            keys.put(caller, caller + "." + SECRET + caller);
            section.append("""
                    [caller %s]
                    key-hash = %s
                    class = %s
                    """.formatted(caller, hash, callerClass.name()));
        }
        return section.toString();
    }

    private String engine(String name, EngineProfile profile, int number) {
        HostPort address = engines.start(name, profile, clock);
        return server(name, address, number, profile.role(), fleet.service());
    }

    private String server(String name, HostPort address, int number, String role, String service) {
        return """
                [server %s]
                address = %s
                zone = %s
                role = %s
                service = %s
                """.formatted(name, address, fleet.zone(number - 1), role, service);
    }

    private <T extends AutoCloseable> T own(T server) {
        servers.add(server);
        return server;
    }
}
