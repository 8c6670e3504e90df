package org.mangoridge.bench;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.mangoridge.bench.load.TrafficClass;
import org.mangoridge.bench.scenario.FaultStep;
import org.mangoridge.bench.scenario.Fleet;
import org.mangoridge.config.ApplyId;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.EntryInstance;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.platform.ObjectStore;
import org.mangoridge.platform.http.HttpObjectStore;
import org.mangoridge.routing.PolicyName;
import org.mangoridge.routing.RoutingPolicies;
import org.mangoridge.settings.InstanceSettings;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.standin.engine.EngineCounts;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.engine.EngineStandIn;
import org.mangoridge.standin.platform.PlatformStandIn;
import org.mangoridge.standin.service.ServiceStandIn;

/** Entry instances, engines, plain services and the platform of one deployment, all on loopback in this process. */
final class BenchSystem implements AutoCloseable {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int INSTANCES = 6;
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final int READY_TRIES = 500;
    private static final long READY_PAUSE_MILLIS = 20;
    private static final String OPERATOR = "bench";
    private static final String SECRET = "bench-secret-";

    private final List<AutoCloseable> servers = new ArrayList<>();
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final List<EntryInstance> instances = new ArrayList<>();
    private final Map<String, String> keys = new HashMap<>();
    private final Fleet fleet;
    private final HttpTransport transport;

    private BenchSystem(Fleet fleet) {
        this.fleet = fleet;
        this.transport = HttpTransport.create(TIMEOUT);
    }

    /** Starts everything and waits until each instance is ready. */
    static BenchSystem start(Fleet fleet, PolicyName policy, Clock clock, long seed) throws InterruptedException {
        BenchSystem system = new BenchSystem(fleet);
        try {
            HostPort platform = system.own(PlatformStandIn.start(ANY_PORT)).address();
            String config = system.startServers(clock);
            system.publish(platform, config, clock, seed);
            system.startInstances(platform, policy, clock, seed);
            system.awaitReady();
            return system;
        } catch (RuntimeException | InterruptedException e) {
            system.close();
            throw e;
        }
    }

    /** Returns the addresses that callers connect to. */
    List<HostPort> callerAddresses() {
        return instances.stream().map(EntryInstance::callerAddress).toList();
    }

    /** Returns the key of each caller. */
    Map<String, String> keys() {
        return keys;
    }

    /** Puts a fault into force. */
    void apply(FaultStep step) {
        engines.get(step.server()).faults(step.faults());
    }

    /** Returns what all engines truly did since they started. */
    EngineCounts counts() {
        return engines.values().stream().map(EngineStandIn::counts).reduce(EngineCounts.none(), EngineCounts::plus);
    }

    /** Tells whether any engine ran anything for a request. */
    boolean hasRun(String request) {
        return engines.values().stream().anyMatch(engine -> engine.hasRun(request));
    }

    @Override
    public void close() {
        closeAll(instances);
        closeAll(servers);
        transport.close();
    }

    /** Closes parts side by side, since each waits for its connections to end. */
    private static void closeAll(List<? extends AutoCloseable> parts) {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            parts.forEach(part -> threads.submit(() -> {
                part.close();
                return null;
            }));
        }
    }

    private void publish(HostPort platform, String config, Clock clock, long seed) {
        ObjectStore store = HttpObjectStore.create(transport, platform, TIMEOUT);
        AuditLog audit = AuditLog.create(store, AuditLog.REFUSALS, new Random(seed));
        Publisher.create(store, audit, clock).applyText(ApplyId.of("bench-1"), OPERATOR, config);
    }

    private String startServers(Clock clock) {
        StringBuilder config = new StringBuilder(services());
        fleet.classes().forEach(callerClass -> config.append(callersOf(callerClass)));
        for (int number = 1; number <= fleet.prefillServers(); number++) {
            config.append(engine(fleet.prefillServer(number), fleet.prefillProfile(), number, clock));
        }
        for (int number = 1; number <= fleet.decodeServers(); number++) {
            config.append(engine(fleet.decodeServer(number), fleet.decodeProfile(), number, clock));
        }
        for (int number = 1; number <= fleet.plainServers(); number++) {
            HostPort address = own(ServiceStandIn.start(ANY_PORT)).address();
            config.append(server("plain-" + number, address, number, "plain", fleet.plainService()));
        }
        return config.toString();
    }

    private void startInstances(HostPort platform, PolicyName policy, Clock clock, long seed) {
        for (int index = 0; index < INSTANCES; index++) {
            AvailabilityZone zone = AvailabilityZone.of(fleet.zone(index));
            Random random = new Random(seed + index);
            InstanceSettings settings = new InstanceSettings(
                    InstanceId.of("entry-" + (index + 1)),
                    zone,
                    ANY_PORT,
                    ANY_PORT,
                    ANY_PORT,
                    platform,
                    List.of(),
                    MAX_BODY_BYTES,
                    TIMEOUT,
                    TIMEOUT,
                    Map.of());
            instances.add(EntryInstance.start(
                    settings, RoutingPolicies.create(policy, zone, new Random(seed - index)), clock, random));
        }
    }

    private void awaitReady() throws InterruptedException {
        for (EntryInstance instance : instances) {
            HttpCall call = HttpCall.get(instance.operatorAddress().httpUri("/ready"), TIMEOUT);
            boolean ready = false;
            for (int attempt = 0; attempt < READY_TRIES && !ready; attempt++) {
                Result<HttpAnswer, HttpFailure> answer = transport.send(call);
                ready = answer.isOk() && answer.value().isSuccess();
                if (!ready) {
                    Thread.sleep(READY_PAUSE_MILLIS);
                }
            }
            if (!ready) {
                throw new IllegalStateException("an entry instance does not become ready");
            }
        }
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

    private String engine(String name, EngineProfile profile, int number, Clock clock) {
        EngineStandIn engine = own(EngineStandIn.start(ANY_PORT, profile, clock));
        engines.put(name, engine);
        return server(name, engine.address(), number, profile.role(), fleet.service());
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
