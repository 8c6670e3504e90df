import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import rig.Http;
import rig.Node;
import rig.PlainServer;
import rig.Record;
import rig.Store;

/**
 * A server leaves without a report, so that its entry is removed, and the store cuts off waiting watches before and after
 * that: does the server still get requests later than {@code drain_ms} after the removal?
 */
public final class CutWatches {

    private static final int DRAIN_MILLIS = 2000;
    /** How long the server serves on after that. */
    private static final int SERVES_ON_MILLIS = 700;
    /** When watches are cut off, against the removal. */
    private static final int FIRST_CUT_MILLIS = -300;

    private static final int CLIENTS = 12;
    private static final int SECOND_CUT_MILLIS = 1300;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-8-");
        Record record = new Record(Path.of("review/8/record.txt"));
        Store store = new Store();
        long[] removedAt = {-1};
        Map<String, Long> late = new ConcurrentHashMap<>();
        Map<String, String> running = new ConcurrentHashMap<>();
        List<PlainServer> servers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            servers.add(new PlainServer(record, store, "i-desk" + i, "desk", "attica-a", 6) {
                @Override
                protected void arrived(Http.Message request) {
                    String requestId = request.header("Request-Id");
                    record.add(id + " gets and runs " + requestId);
                    running.put(requestId, id);
                    long after = record.now() - removedAt[0];
                    if (id.equals("i-desk1") && removedAt[0] >= 0 && after > DRAIN_MILLIS) {
                        late.put(requestId, after);
                        record.add("DRAIN: " + requestId + " reaches i-desk1 " + after
                                + " ms after the store has confirmed that it is gone");
                    }
                }

                @Override
                protected void ran(Http.Message request) {
                    running.remove(request.header("Request-Id"));
                }
            });
        }
        servers.forEach(server -> server.workMillis = 80);
        store.put("config", "main", config());
        Node node = new Node(folder, "front-attica-a-1", "127.0.0.1", "attica-a", Node.freePorts(),
                List.of("127.0.0.1"), store.address(), Node.bounds());
        int exit = 2;
        try {
            node.start();
            if (!node.awaitReady()) {
                record.add("the instance is not ready");
                System.exit(2);
            }
            boolean[] sending = {true};
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                clients.add(Thread.ofVirtual().start(() -> {
                    for (int i = 0; sending[0]; i++) {
                        sent.incrementAndGet();
                        if (order(node, record, "c" + client + "-" + i)) {
                            served.incrementAndGet();
                        }
                        pause(20);
                    }
                }));
            }
            // The instance is in touch: it has run for contact_ms, and the store is stable.
            Thread.sleep(4000);
            if (trouble) {
                record.add("the store cuts off " + store.cutWatches() + " watches");
            }
            Thread.sleep(-FIRST_CUT_MILLIS);
            servers.get(0).unlist();
            removedAt[0] = record.now();
            record.add("the store has removed the entry of i-desk1");
            Thread.sleep(SECOND_CUT_MILLIS);
            if (trouble) {
                record.add("the store cuts off " + store.cutWatches() + " watches");
            }
            Thread.sleep(DRAIN_MILLIS + SERVES_ON_MILLIS - SECOND_CUT_MILLIS);
            servers.get(0).end();
            record.add("i-desk1 has exited; it was at work on "
                    + running.entrySet().stream().filter(each -> each.getValue().equals("i-desk1")).toList());
            Thread.sleep(1500);
            sending[0] = false;
            for (Thread client : clients) {
                client.join();
            }
            record.add("served: " + served + " of " + sent);
            exit = served.get() == 0 ? 2 : late.isEmpty() ? 0 : 1;
            record.add(late.isEmpty() ? "the rule held" : late.size() + " requests were late at a server that is gone");
        } finally {
            node.end();
            System.exit(exit);
        }
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ObjectNode config() {
        ObjectNode spec = Store.JSON.createObjectNode().put("version", 7);
        spec.putArray("routes").addObject().put("name", "r-order").put("host", "museum.example")
                .put("path_prefix", "/order/").put("kind", "unsafe").put("timeout_ms", 3000)
                .put("target_latency_ms", 386).put("priority", 2).put("service", "desk").put("max_attempts", 1);
        spec.putArray("services").addObject().put("name", "desk").put("health_path", "/healthz")
                .put("max_conns", 100).put("protocol", "h1").put("tls", false);
        spec.putObject("limits").put("max_header_bytes", 16384).put("max_body_bytes", 4194304)
                .put("header_timeout_ms", 3000).put("idle_timeout_ms", 15000);
        return spec;
    }

    /** Sends an order, which must not be repeated; returns whether it was answered with success. */
    private static boolean order(Node node, Record record, String id) {
        try (Socket socket = new Socket(node.ip, node.front)) {
            record.add("client sends " + id);
            socket.getOutputStream().write(("POST /order/1 HTTP/1.1\r\nHost: museum.example\r\nRequest-Id: " + id
                    + "\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{}").getBytes());
            Http.Message answer = Http.response(socket.getInputStream());
            record.add("client of " + id + " gets " + (answer == null ? "no answer" : answer.status()));
            boolean served = answer != null && answer.status() == 200 && answer.whole
                    && answer.text().equals("answer to " + id);
            return served;
        } catch (IOException e) {
            record.add("client of " + id + " fails: " + e);
            return false;
        }
    }
}
