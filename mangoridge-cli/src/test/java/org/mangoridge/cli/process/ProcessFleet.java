package org.mangoridge.cli.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.mangoridge.config.ApplyId;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.http.HttpObjectStore;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.engine.EngineStandIn;
import org.mangoridge.standin.platform.PlatformStandIn;

/** Several instances as processes before stand-ins in this one. */
final class ProcessFleet implements AutoCloseable {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final String SECRET = "chalk-counter-secret";
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long SEED = 1;
    private static final Pattern INCARNATION = Pattern.compile("\"incarnation\":(\\d+)");

    final EngineStandIn engine;
    final SilentProxy proxy;
    final List<ServeProcess> instances = new ArrayList<>();
    final HttpTransport transport = HttpTransport.create(TIMEOUT);
    private final Deque<AutoCloseable> parts = new ArrayDeque<>();
    private final Clock clock = SystemClock.instance();
    private final PlatformStandIn platform;
    private final Path folder;
    private final String settings;

    /** Starts {@code size} instances that reach the engine through {@link #proxy}. */
    static ProcessFleet behindProxy(Path folder, int size) throws IOException {
        return new ProcessFleet(folder, size, "", true);
    }

    /** Starts the stand-ins and {@code size} instances that know of each other. */
    ProcessFleet(Path folder, int size, String settings) throws IOException {
        this(folder, size, settings, false);
    }

    private ProcessFleet(Path folder, int size, String settings, boolean proxied) throws IOException {
        this.folder = folder;
        this.settings = settings;
        parts.push(transport);
        platform = own(PlatformStandIn.start(ANY_PORT));
        engine = own(EngineStandIn.start(ANY_PORT, EngineProfile.of("both", "chalk-llm", "1"), clock));
        proxy = proxied ? own(SilentProxy.start(engine.address())) : null;
        ObjectStore store = HttpObjectStore.create(transport, platform.address(), TIMEOUT);
        Publisher.create(store, AuditLog.create(store, AuditLog.REFUSALS, new Random(SEED)), clock)
                .applyText(ApplyId.of("fleet-1"), "fleet", config());
        for (int i = 0; i < size; i++) {
            start("entry-" + i);
        }
        awaitTrue("all instances know each other", () -> instances.stream().allMatch(this::knowsAll));
    }

    ServeProcess start(String id) throws IOException {
        List<HostPort> seeds = instances.stream().map(ServeProcess::peers).toList();
        ServeProcess instance = own(ServeProcess.start(folder, id, platform.address(), seeds, settings));
        instances.add(instance);
        return instance;
    }

    /** Opens a stream of {@code tokens} tokens; the caller closes it. */
    HttpLineStream stream(ServeProcess instance, int tokens) {
        String body = "{\"model\": \"draftroom\", \"prompt\": \"Chalk for the nursery.\", \"stream\": true,"
                + " \"max_tokens\": " + tokens + "}";
        Headers headers =
                Headers.of("Content-Type", "application/json").with("Authorization", "Bearer counter." + SECRET);
        HttpCall call = new HttpCall(
                "POST",
                instance.callers().httpUri("/v1/completions"),
                headers,
                body.getBytes(StandardCharsets.UTF_8),
                TIMEOUT);
        Result<HttpLineStream, HttpFailure> opened = transport.openStream(call);
        if (!opened.isOk()) {
            throw new IllegalStateException(opened.error().detail());
        }
        return opened.value();
    }

    /** Returns the data lines of the rest of a stream, or of what came before it broke. */
    List<String> rest(HttpLineStream stream) {
        List<String> data = new ArrayList<>();
        Result<Optional<String>, HttpFailure> line = stream.nextLine(TIMEOUT);
        while (line.isOk() && line.value().isPresent()) {
            if (line.value().get().startsWith("data: ")) {
                data.add(line.value().get());
            }
            line = stream.nextLine(TIMEOUT);
        }
        return data;
    }

    Result<HttpAnswer, HttpFailure> operator(ServeProcess instance, String path) {
        return transport.send(HttpCall.get(instance.operators().httpUri(path), TIMEOUT));
    }

    /** Returns the run of an instance, as it tells operators. */
    long incarnation(ServeProcess instance) {
        Matcher found =
                INCARNATION.matcher(operator(instance, "/status").value().text());
        if (!found.find()) {
            throw new IllegalStateException("no incarnation in the status");
        }
        return Long.parseLong(found.group(1));
    }

    /** Asks until {@code condition} holds and returns how long that took. */
    Duration awaitTrue(String what, BooleanSupplier condition) {
        Duration began = clock.elapsed();
        while (!condition.getAsBoolean()) {
            if (clock.elapsed().minus(began).compareTo(TIMEOUT) > 0) {
                throw new IllegalStateException("not in " + TIMEOUT + ": " + what);
            }
            Thread.onSpinWait();
        }
        return clock.elapsed().minus(began);
    }

    @Override
    public void close() throws Exception {
        while (!parts.isEmpty()) {
            parts.pop().close();
        }
    }

    private boolean knowsAll(ServeProcess instance) {
        Result<HttpAnswer, HttpFailure> ready = operator(instance, "/ready");
        Result<HttpAnswer, HttpFailure> peers = operator(instance, "/peers");
        return ready.isOk()
                && ready.value().isSuccess()
                && peers.isOk()
                && peers.value().text().split("\"alive\"", -1).length == instances.size();
    }

    private String config() {
        return """
                [service draftroom]
                kind = model
                model = chalk-llm
                version = 1
                timeout = 1min
                [class counter]
                first-token = 340ms
                per-token = 39ms
                [caller counter]
                key-hash = %s
                class = counter
                [server both-1]
                address = %s
                zone = zone-a
                role = both
                service = draftroom
                """.formatted(
                        KeyHash.of("demosalt".getBytes(StandardCharsets.UTF_8), SECRET),
                        proxy == null ? engine.address() : proxy.address());
    }

    private <T extends AutoCloseable> T own(T part) {
        parts.push(part);
        return part;
    }
}
