import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A request of one tenant crashes the servers that run it, while another tenant sends the same path and body, which is sound. */
final class DeadlyCaller {

    private static final int NODES = 3;
    private static final int SERVERS = 4;
    private static final long CONTACT_MILLIS = 3000;
    private static final long DEADLY_INTERVAL_MILLIS = 2000;
    private static final int SOUND_CALLERS_PER_NODE = 3;
    private static final long SOUND_INTERVAL_MILLIS = 200;
    private static final long WORK_MILLIS = 250;
    private static final long RUN_MILLIS = 36_000;
    private static final int THIRD = 3;
    private static final int MAX_RETRIES = 3;
    private static final String HOST = "ficu95.example";
    private static final String DEADLY_TENANT = "north";
    private static final String SOUND_TENANT = "south";
    private static final String BODY = "{\"report\":\"all\"}";

    private static final AtomicInteger LOST_ORDERS = new AtomicInteger();
    private static final List<Long> CRASHES = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, rig -> run(rig, arguments.length < 2 || !arguments[1].equals("alone")));
    }

    /** A server of a plain service, which is back under a new id some seconds after a crash. */
    private static final class Server {
        private final Rig rig;
        private final Rig.Store store;
        private final Rig.Listener listener;
        private volatile String id = "i-" + Rig.hex(8);
        private volatile boolean down;

        Server(Rig rig, Rig.Store store) throws IOException {
            this.rig = rig;
            this.store = store;
            this.listener = rig.new Listener(Rig.host(2), 0, this::handle);
            list();
        }

        private void list() {
            store.put("servers", id, "{\"service\":\"desk\",\"address\":\"" + listener.address()
                    + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":"
                    + System.currentTimeMillis() + ",\"seq\":1}");
        }

        private byte[] handle(Rig.Message request, Socket connection) {
            String expected = request.header("Expected-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                return Rig.answer(421, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
            }
            String requestId = request.header("Request-Id");
            rig.arrivals.add(new Rig.Arrival(rig.now(), id, "desk", requestId, request.target(), request));
            Rig.sleep(20);
            if (Rig.TROUBLE && request.header("Tenant").equals(DEADLY_TENANT)) {
                crash(requestId);
                return null;
            }
            Rig.sleep(WORK_MILLIS);
            return Rig.answer(
                    200, "Request-Id: " + requestId + "\r\nResponse-Signature: " + Rig.hex(8) + "\r\n", "report " + requestId);
        }

        private synchronized void crash(String requestId) {
            if (down) {
                return;
            }
            down = true;
            CRASHES.add(rig.now());
            rig.log("server " + id + " crashes on request " + requestId + ", crash " + CRASHES.size());
            listener.crash();
            String gone = id;
            Thread.ofVirtual().start(() -> {
                Rig.sleep(3000);
                id = "i-" + Rig.hex(8);
                try {
                    listener.reopen();
                } catch (IOException e) {
                    rig.log("server does not come back: " + e);
                }
                down = false;
                list();
                Rig.sleep(600);
                store.remove("servers", gone);
            });
        }
    }

    private static int run(Rig rig, boolean withSound) throws Exception {
        Rig.Store store = rig.new Store(Rig.host(1));
        for (int i = 0; i < SERVERS; i++) {
            new Server(rig, store);
        }
        String manifest = Rig.manifest(
                7, Rig.route("report", HOST, "/report/", "unsafe", "desk", ""), Rig.plainService("desk"), 16384);
        store.put("config", "main", manifest.substring(0, manifest.length() - 1)
                + ",\"tenants\":[{\"name\":\"" + DEADLY_TENANT + "\",\"api_keys\":[\"key-n\"]},{\"name\":\"" + SOUND_TENANT
                + "\",\"api_keys\":[\"key-s\"]}]}");
        List<Rig.Node> nodes = rig.nodes(NODES, store.listener.address());
        for (Rig.Node node : nodes) {
            node.start();
        }
        rig.awaitReady(nodes);
        Rig.sleep(3500);
        long end = rig.now() + RUN_MILLIS;
        if (withSound) {
            for (int i = 0; i < NODES * SOUND_CALLERS_PER_NODE; i++) {
                Rig.Node node = nodes.get(i % NODES);
                Thread.ofVirtual().start(() -> {
                    while (rig.now() < end) {
                        send(rig, node, "key-s");
                        Rig.sleep(SOUND_INTERVAL_MILLIS);
                    }
                });
            }
        }
        Rig.sleep(2000);
        for (int i = 0; rig.now() < end; i++) {
            Rig.Node node = nodes.get(i % NODES);
            Thread.ofVirtual().start(() -> send(rig, node, "key-n"));
            Rig.sleep(DEADLY_INTERVAL_MILLIS);
        }
        Rig.sleep(2000);
        rig.log(LOST_ORDERS.get() + " sound orders that a server had accepted, each sent once, got no success");
        if (CRASHES.size() < THIRD) {
            rig.log(CRASHES.size() + " crashes, so that the rule does not bind");
            return Rig.HELD;
        }
        long from = CRASHES.get(THIRD - 1) + CONTACT_MILLIS;
        long late = rig.arrivals.stream()
                .filter(each -> each.at() > from && each.request().header("Tenant").equals(DEADLY_TENANT))
                .count();
        rig.log(CRASHES.size() + " crashes; the request reached servers in " + late + " retries later than " + CONTACT_MILLIS
                + " ms after the third crash; allowed are " + MAX_RETRIES);
        return late > MAX_RETRIES ? Rig.BROKEN : Rig.HELD;
    }

    private static void send(Rig rig, Rig.Node node, String key) {
        String id = Rig.hex(16);
        String outcome;
        try (Rig.Client client = rig.new Client(node.ip, node.frontPort)) {
            outcome = client.call(
                    "POST /report/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nAuthorization: Token " + key
                            + "\r\nDeadline-Ms: 1500\r\nContent-Length: " + BODY.length() + "\r\n",
                    BODY.getBytes(StandardCharsets.ISO_8859_1),
                    2000).first;
        } catch (IOException e) {
            outcome = e.toString();
        }
        boolean arrived = rig.arrivals.stream().anyMatch(each -> each.id().equals(id));
        if (key.equals("key-s") && arrived && !outcome.contains(" 200 ")) {
            LOST_ORDERS.incrementAndGet();
        }
        rig.log("request " + id + " with " + key + " at " + node.name + ": " + outcome
                + (arrived ? ", reached a server" : ", reached no server"));
    }
}
