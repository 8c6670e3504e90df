import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: three instances in three zones, a store, a model service and, if wanted, a plain one. */
final class Deployment implements AutoCloseable {

    static final String HOST = "host-1.example";
    static final String MODELS = "service-1";
    static final String PLAIN = "service-2";
    private static final List<String> IPS = List.of("127.0.0.11", "127.0.0.12", "127.0.0.13");
    private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

    final Store store = new Store();
    final List<ModelServer> prefillServers = new ArrayList<>();
    final List<ModelServer> decodeServers = new ArrayList<>();
    final List<PlainServer> plainServers = new ArrayList<>();
    final List<Instance> instances = new CopyOnWriteArrayList<>();
    private final boolean[] rotation = {true, true, true};
    private final Path folder = Files.createTempDirectory("review");
    private final int[] ports = Instance.freePorts(IPS, 5);
    private final Path root;
    private final Record record;

    Deployment(Path root, Record record) throws IOException {
        this.root = root;
        this.record = record;
    }

    /** A streaming route of the model service. */
    static Map<String, Object> streams(String prefix, boolean resumable, int attempts, int timeoutMillis) {
        return Json.of(
                "name", "r" + prefix.replace("/", "-"), "host", HOST, "path_prefix", prefix, "kind", "streaming",
                "timeout_ms", timeoutMillis, "target_latency_ms", 900, "priority", 1, "service", MODELS, "max_attempts",
                attempts, "sticky", true, "resumable", resumable, "gap_target_ms", 300);
    }

    /** A route of the plain service. */
    static Map<String, Object> calls(String prefix, String kind, int attempts, int timeoutMillis) {
        return Json.of(
                "name", "r" + prefix.replace("/", "-"), "host", HOST, "path_prefix", prefix, "kind", kind, "timeout_ms",
                timeoutMillis, "target_latency_ms", 100, "priority", 2, "service", PLAIN, "max_attempts", attempts);
    }

    void configure(List<Object> routes) {
        store.put(
                "config",
                "main",
                Json.of(
                        "version", 7,
                        "routes", routes,
                        "services",
                        List.of(
                                Json.of(
                                        "name", MODELS, "health_path", "/healthz", "max_conns", 170, "protocol", "h1",
                                        "tls", false, "engine",
                                        Json.of(
                                                "slots", 16, "kv_capacity", 29250, "kv_token_bytes", 18432, "link_mbps",
                                                180000.0, "moves", true, "backups", true, "stride", 1, "most", 12,
                                                "handle_ttl_s", 0.5, "switch_s", 6.0, "pin_ms", 4000.0, "hold_ms",
                                                2000.0, "models", List.of(Json.of("name", "m")))),
                                Json.of(
                                        "name", PLAIN, "health_path", "/healthz", "max_conns", 100, "protocol", "h1",
                                        "tls", false)),
                        "limits",
                        Json.of(
                                "max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
                                "idle_timeout_ms", 15000)));
    }

    void addModelServers(int prefill, int decode, int eventMillis) throws IOException {
        for (int i = 0; i < prefill + decode; i++) {
            boolean first = i < prefill;
            (first ? prefillServers : decodeServers)
                    .add(new ModelServer(
                            MODELS, ZONES[i % 3], first ? "prefill" : "decode", 16, 29250, eventMillis, store, record));
        }
    }

    void addPlainServers(int count, int slots, int workMillis) throws IOException {
        for (int i = 0; i < count; i++) {
            plainServers.add(new PlainServer(PLAIN, ZONES[i % 3], slots, workMillis, store, record));
        }
    }

    /** Starts the processes of the instances, at the addresses that they had before if there were any. */
    void startProcesses(int memoryMb) throws IOException {
        for (int i = 0; i < ZONES.length; i++) {
            Instance instance = Instance.start(
                    root, folder, "front-" + ZONES[i] + "-1", ZONES[i], IPS.get(i), IPS, ports,
                    store.listener.address(), memoryMb);
            if (i < instances.size()) {
                instances.set(i, instance);
            } else {
                instances.add(instance);
            }
        }
    }

    void killAll() throws InterruptedException {
        for (Instance instance : instances) {
            instance.kill();
        }
    }

    /** Starts the instances; returns false if one does not get ready. */
    boolean start(int memoryMb) throws IOException, InterruptedException {
        startProcesses(memoryMb);
        for (Instance instance : instances) {
            if (!instance.awaitReady(20_000)) {
                record.line("%s does not get ready", instance.node);
                return false;
            }
        }
        for (int i = 0; i < instances.size(); i++) {
            int index = i;
            Thread.ofVirtual().start(() -> watchReadiness(index));
        }
        Thread.sleep(4000);
        return true;
    }

    /** Asks an instance once a second; after two misses it is out of rotation until it says again that it is ready. */
    private void watchReadiness(int index) {
        int misses = 0;
        while (true) {
            long asked = System.nanoTime();
            misses = instances.get(index).isReady(1000) ? 0 : misses + 1;
            boolean in = misses < 2;
            if (in != rotation[index]) {
                rotation[index] = in;
                record.line("%s is %s rotation", instances.get(index).node, in ? "in" : "out of");
            }
            try {
                Thread.sleep(Math.max(1, 1000 - (System.nanoTime() - asked) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the instance that the platform forwards a new connection of a client to. */
    Instance choose(int client) {
        for (int i = 0; i < instances.size(); i++) {
            int index = (client + i) % instances.size();
            if (rotation[index]) {
                return instances.get(index);
            }
        }
        return instances.get(client % instances.size());
    }

    @Override
    public void close() throws IOException, InterruptedException {
        killAll();
        if (System.getenv("KEEP_LOGS") == null) {
            for (File file : folder.toFile().listFiles()) {
                Files.delete(file.toPath());
            }
            Files.delete(folder);
        }
    }
}
