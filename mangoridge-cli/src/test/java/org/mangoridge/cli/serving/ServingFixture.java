package org.mangoridge.cli.serving;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

import org.mangoridge.config.ApplyId;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.entry.EntryInstance;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpLineStream;
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

/** An entry instance before engine stand-ins, over real sockets. */
final class ServingFixture implements AutoCloseable {

    static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("a");
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final String SECRET = "serving-test-secret";

    private final Deque<AutoCloseable> parts = new ArrayDeque<>();
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Clock clock = SystemClock.instance();
    private final HttpTransport transport = own(HttpTransport.create(TIMEOUT));
    private final EntryInstance instance;

    ServingFixture(long seed, String... roles) {
        PlatformStandIn platform = own(PlatformStandIn.start(ANY_PORT));
        StringBuilder config = new StringBuilder(services());
        for (String role : roles) {
            EngineStandIn engine = own(EngineStandIn.start(ANY_PORT, EngineProfile.of(role, "m", "1"), clock));
            String name = role + "-" + engines.size();
            engines.put(name, engine);
            config.append("[server %s]\naddress = %s\nzone = a\nrole = %s\nservice = drafts\n"
                    .formatted(name, engine.address(), role));
        }
        ObjectStore store = HttpObjectStore.create(transport, platform.address(), TIMEOUT);
        Publisher.create(store, AuditLog.create(store, AuditLog.REFUSALS, new Random(seed)), clock)
                .applyText(ApplyId.of("test-1"), "test", config.toString());
        InstanceSettings settings = new InstanceSettings(
                InstanceId.of("entry-1"),
                ZONE,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                platform.address(),
                List.of(),
                MAX_BODY_BYTES,
                TIMEOUT,
                TIMEOUT,
                Map.of());
        instance = own(EntryInstance.start(
                settings,
                RoutingPolicies.create(PolicyName.CURRENT, ZONE, new SplittableRandom(seed)),
                clock,
                new Random(seed)));
        await("the configuration", () -> transport
                .send(HttpCall.get(operatorAddress().httpUri("/ready"), TIMEOUT))
                .value()
                .isSuccess());
    }

    HostPort operatorAddress() {
        return instance.operatorAddress();
    }

    HttpTransport transport() {
        return transport;
    }

    Iterable<EngineStandIn> engines() {
        return engines.values();
    }

    /** Returns the decode engine that holds a slot. */
    EngineStandIn decoding() {
        return engines.entrySet().stream()
                .filter(entry -> !entry.getKey().startsWith("prefill"))
                .map(Map.Entry::getValue)
                .filter(engine -> engine.slotsUsed() > 0)
                .findFirst()
                .orElseThrow();
    }

    EngineStandIn engine(String name) {
        return engines.get(name);
    }

    /** Opens a streamed completion; the caller closes it. */
    HttpLineStream open(String prompt, int maxTokens) {
        return transport.openStream(completion(prompt, maxTokens)).value();
    }

    HttpCall completion(String prompt, int maxTokens) {
        String body = "{\"model\": \"drafts\", \"prompt\": \"" + prompt + "\", \"max_tokens\": " + maxTokens
                + ", \"stream\": true}";
        Headers headers =
                Headers.of("Content-Type", "application/json").with("Authorization", "Bearer counter." + SECRET);
        return new HttpCall(
                "POST",
                instance.callerAddress().httpUri("/v1/completions"),
                headers,
                body.getBytes(StandardCharsets.UTF_8),
                TIMEOUT);
    }

    /** Waits until {@code condition} holds. */
    void await(String what, BooleanSupplier condition) {
        Duration end = clock.elapsed().plus(TIMEOUT);
        while (!condition.getAsBoolean()) {
            if (clock.elapsed().compareTo(end) > 0) {
                throw new AssertionError("waited in vain for " + what);
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() throws Exception {
        while (!parts.isEmpty()) {
            parts.pop().close();
        }
    }

    private static String services() {
        KeyHash hash = KeyHash.of("testsalt".getBytes(StandardCharsets.UTF_8), SECRET);
        return """
                [service drafts]
                kind = model
                model = m
                version = 1
                [class counter]
                first-token = 5s
                per-token = 5s
                [caller counter]
                key-hash = %s
                class = counter
                """.formatted(hash);
    }

    private <T extends AutoCloseable> T own(T part) {
        parts.push(part);
        return part;
    }
}
