package org.mangoridge.cli.demo;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;

import org.mangoridge.config.ApplyId;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.entry.EntryInstance;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.http.HttpObjectStore;
import org.mangoridge.routing.PolicyName;
import org.mangoridge.routing.RoutingPolicies;
import org.mangoridge.settings.InstanceSettings;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.engine.EngineStandIn;
import org.mangoridge.standin.platform.PlatformStandIn;
import org.mangoridge.standin.service.ServiceStandIn;

/** An entry instance with a platform, engines and a plain service, all in this process. */
final class DemoSystem implements AutoCloseable {

    /** The key of a caller that can't wait. */
    static final String COUNTER_KEY = "counter.chalk-counter-demo-secret";

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final long SEED = 1;
    private static final AvailabilityZone ZONE = AvailabilityZone.of("scot-central-a");

    private final Deque<AutoCloseable> parts = new ArrayDeque<>();
    private final EntryInstance instance;
    private final ServiceStandIn orders;

    private DemoSystem() {
        Clock clock = SystemClock.instance();
        PlatformStandIn platform = own(PlatformStandIn.start(ANY_PORT));
        StringBuilder config = new StringBuilder(services());
        for (String role : List.of("prefill", "decode")) {
            for (int number = 1; number <= 2; number++) {
                EngineStandIn engine =
                        own(EngineStandIn.start(ANY_PORT, EngineProfile.of(role, "chalk-llm", "1"), clock));
                config.append(server(role + "-" + number, engine.address(), role, "draftroom"));
            }
        }
        orders = own(ServiceStandIn.start(ANY_PORT));
        config.append(server("orders-1", orders.address(), "plain", "orderdesk"));
        HttpTransport transport = own(HttpTransport.create(TIMEOUT));
        ObjectStore store = HttpObjectStore.create(transport, platform.address(), TIMEOUT);
        Publisher.create(store, AuditLog.create(store, AuditLog.REFUSALS, new Random(SEED)), clock)
                .applyText(ApplyId.of("demo-1"), "demo", config.toString());
        instance = own(EntryInstance.start(
                settings(platform.address()),
                RoutingPolicies.create(PolicyName.CURRENT, ZONE, new SplittableRandom(SEED)),
                clock,
                new Random(SEED)));
    }

    static DemoSystem start() {
        return new DemoSystem();
    }

    HostPort callerAddress() {
        return instance.callerAddress();
    }

    HostPort operatorAddress() {
        return instance.operatorAddress();
    }

    /** Returns how often each order ran. */
    Map<String, Integer> orderRuns() {
        return orders.runs();
    }

    @Override
    public void close() {
        while (!parts.isEmpty()) {
            try {
                parts.pop().close();
            } catch (Exception e) {
                throw new IllegalStateException("the demo could not be ended", e);
            }
        }
    }

    private static InstanceSettings settings(HostPort platform) {
        return new InstanceSettings(
                InstanceId.of("entry-1"),
                ZONE,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                platform,
                List.of(),
                MAX_BODY_BYTES,
                TIMEOUT,
                TIMEOUT,
                Map.of());
    }

    private static String services() {
        String secret = COUNTER_KEY.substring(COUNTER_KEY.indexOf('.') + 1);
        KeyHash hash = KeyHash.of("demosalt".getBytes(StandardCharsets.UTF_8), secret);
        return """
                [service draftroom]
                kind = model
                model = chalk-llm
                version = 1
                [service orderdesk]
                kind = plain
                [class counter]
                first-token = 340ms
                per-token = 39ms
                [caller counter]
                key-hash = %s
                class = counter
                """.formatted(hash);
    }

    private static String server(String name, HostPort address, String role, String service) {
        return """
                [server %s]
                address = %s
                zone = scot-central-a
                role = %s
                service = %s
                """.formatted(name, address, role, service);
    }

    private <T extends AutoCloseable> T own(T part) {
        parts.push(part);
        return part;
    }
}
