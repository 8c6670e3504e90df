import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A part of prompts crashes each server that begins to write an answer on it.
 *
 * <p>The arguments after the folder: the number of digits of the ids of parts, the number of parts that all prompts share before
 * the one that differs, the time between two requests with the part, how long a server that crashed is down (both in
 * milliseconds), and the rule that is judged.
 */
final class PoisonPart {

    private static final int NODES = 6;
    private static final int DECODE_SERVERS = 5;
    private static final int PREFILL_SERVERS = 2;
    private static final long CONTACT_MILLIS = 3000;
    private static final long CALM_MILLIS = 8000;
    private static final long POISON_MILLIS = 20_000;
    private static final int MIN_JUDGED = 20;
    /** Three reports of a server, each 1.2 s after the one before. */
    private static final long ENTRY_EXPIRY_MILLIS = 3600;
    private static final long SWITCH_MILLIS = 6000;
    private static final int MAX_LATE = 3;
    private static final int FIFTH = 5;
    private static final String HOST = "ficu95.example";

    private static int digits;
    private static long poisonIntervalMillis;
    private static long downMillis;
    private static boolean judgesLost;
    private static String sharedParts;
    private static String soundPart;
    private static String poison;

    /** A request that a caller has sent. */
    private record Sent(long at, boolean sound, boolean begun, boolean whole) {}

    private static final List<Sent> SENT = Collections.synchronizedList(new ArrayList<>());
    private static final List<Long> CRASHES = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) throws Exception {
        digits = Integer.parseInt(arguments[1]);
        sharedParts = Stream.generate(() -> Rig.hex(digits) + ":40,")
                .limit(Integer.parseInt(arguments[2]))
                .collect(Collectors.joining());
        poisonIntervalMillis = Long.parseLong(arguments[3]);
        downMillis = Long.parseLong(arguments[4]);
        judgesLost = arguments[5].equals("LOST");
        soundPart = Rig.hex(digits);
        poison = Rig.hex(digits);
        Rig.main(arguments, PoisonPart::run);
    }

    /** A model server, which is back under a new id some seconds after a crash. */
    private static final class Engine {
        private final Rig rig;
        private final Rig.Store store;
        private final Rig.Listener listener;
        private volatile String stage;
        private volatile boolean switching;
        private long orders;
        private long fence;
        private volatile String id = "i-" + Rig.hex(8);
        private volatile boolean down;

        Engine(Rig rig, Rig.Store store, String stage) throws IOException {
            this.rig = rig;
            this.store = store;
            this.stage = stage;
            this.listener = rig.new Listener(Rig.host(2), 0, this::handle);
            list();
        }

        private void list() {
            store.put("servers", id, "{\"service\":\"draft\",\"address\":\"" + listener.address()
                    + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\""
                    + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":"
                    + System.currentTimeMillis() + ",\"seq\":1}");
        }

        private byte[] handle(Rig.Message request, Socket connection) throws IOException {
            String expected = request.header("Expected-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                return Rig.answer(421, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
            }
            if (request.method().equals("DELETE")) {
                return Rig.answer(200, "", "");
            }
            if (request.target().equals("/report")) {
                return Rig.answer(200, "Content-Type: application/json\r\n", "{\"stage\":\"" + stage
                        + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":" + switching + ",\"seq\":"
                        + orders + ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":42121,\"kv_handles\":0}");
            }
            if (request.target().equals("/order")) {
                return Rig.answer(order(request.text()), "", "");
            }
            if (switching) {
                return Rig.answer(503, "Request-Id: " + request.header("Request-Id") + "\r\nNot-Executed: 1\r\n", "");
            }
            if (request.target().equals("/hold-take")) {
                return Rig.answer(200, "Content-Type: application/json\r\n", "{\"hold\":\"" + Rig.hex(12) + "\"}");
            }
            String requestId = request.header("Request-Id");
            rig.arrivals.add(new Rig.Arrival(rig.now(), id, stage, requestId, request.target(), request));
            String echo = "Request-Id: " + requestId + "\r\n";
            if (request.header("Stage").equals("prefill")) {
                Rig.sleep(60);
                return Rig.answer(
                        200,
                        echo + "Content-Type: application/json\r\n",
                        "{\"kv_handle\":\"" + Rig.hex(12) + "\",\"tokens\":1000,\"version\":1}");
            }
            Rig.sleep(80);
            if (Rig.TROUBLE && request.header("Prefix-Hash").contains(poison)) {
                crash(requestId);
                return null;
            }
            OutputStream out = connection.getOutputStream();
            out.write(("HTTP/1.1 200 OK\r\n" + echo + "Response-Signature: " + Rig.hex(8)
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= 8; event++) {
                String text = "id: " + event + "\ndata: " + requestId + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                Rig.sleep(150);
            }
            return "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        }

        /** Carries out a stage order as the pages say; returns the status. */
        private synchronized int order(String text) {
            String wanted = Rig.group(text, "\"stage\":\"(prefill|decode)\"");
            long given = Long.parseLong("0" + Rig.group(text, "\"fence\":([0-9]+)"));
            String expect = Rig.group(text, "\"expect\":([0-9]+)");
            rig.log("server " + id + " gets the order " + text);
            if (given < fence) {
                return 412;
            }
            fence = given;
            if (switching || !expect.isEmpty() && Long.parseLong(expect) != orders) {
                return 409;
            }
            if (wanted.equals(stage)) {
                return 200;
            }
            orders++;
            switching = true;
            String run = id;
            Thread.ofVirtual().start(() -> {
                Rig.sleep(SWITCH_MILLIS);
                if (id.equals(run) && !down) {
                    stage = wanted;
                    switching = false;
                    list();
                }
            });
            return 202;
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
                Rig.sleep(ENTRY_EXPIRY_MILLIS);
                store.remove("servers", gone);
            });
            Thread.ofVirtual().start(() -> {
                Rig.sleep(downMillis);
                id = "i-" + Rig.hex(8);
                orders = 0;
                fence = 0;
                switching = false;
                try {
                    listener.reopen();
                } catch (IOException e) {
                    rig.log("server does not come back: " + e);
                }
                down = false;
                list();
            });
        }
    }

    private static int run(Rig rig) throws Exception {
        Rig.Store store = rig.new Store(Rig.host(1));
        for (int i = 0; i < DECODE_SERVERS + PREFILL_SERVERS; i++) {
            new Engine(rig, store, i < DECODE_SERVERS ? "decode" : "prefill");
        }
        String service = "{\"name\":\"draft\",\"health_path\":\"/healthz\",\"max_conns\":290,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":48,\"kv_capacity\":42121,\"kv_token_bytes\":18432,\"link_mbps\":230000.0,"
                + "\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\"handle_ttl_s\":0.5,\"switch_s\":6.0,"
                + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}";
        store.put("config", "main", Rig.manifest(
                7,
                Rig.route("digest", HOST, "/digest/", "streaming", "draft",
                        ",\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300"),
                service,
                16384));
        List<Rig.Node> nodes = rig.nodes(NODES, store.listener.address());
        for (Rig.Node node : nodes) {
            node.start();
        }
        rig.awaitReady(nodes);
        Rig.sleep(3500);
        long end = rig.now() + CALM_MILLIS + POISON_MILLIS;
        for (Rig.Node node : nodes) {
            Thread.ofVirtual().start(() -> {
                while (rig.now() < end) {
                    Thread.ofVirtual().start(() -> send(rig, node, soundPart, "sound"));
                    Rig.sleep(1000 + ThreadLocalRandom.current().nextInt(1000));
                }
            });
        }
        Rig.sleep(CALM_MILLIS);
        long calmUntil = rig.now();
        for (int i = 0; rig.now() < end; i++) {
            Rig.Node node = nodes.get(i % NODES);
            Thread.ofVirtual().start(() -> send(rig, node, poison, "poisoned"));
            Rig.sleep(poisonIntervalMillis);
        }
        Rig.sleep(4000);
        for (Rig.Node node : nodes) {
            List<String> undecodable = node.logLines("undecodable load report");
            rig.log(node.name + " logged " + undecodable.size() + " undecodable reports"
                    + (undecodable.isEmpty() ? "" : ", the first: " + undecodable.getFirst()));
        }
        long cut = SENT.stream().filter(each -> each.sound() && each.begun() && !each.whole()).count();
        rig.log(CRASHES.size() + " crashes; " + cut + " sound streams that had begun were broken off");
        return judgesLost ? judgeLost(rig, calmUntil, end) : judgeBudget(rig);
    }

    /** From 2 x contact_ms after the fifth crash, or the last, sound requests begin less than half as often as before. */
    private static int judgeLost(Rig rig, long calmUntil, long end) {
        long from = CRASHES.isEmpty()
                ? calmUntil
                : CRASHES.get(Math.min(FIFTH, CRASHES.size()) - 1) + 2 * CONTACT_MILLIS;
        List<Sent> before = SENT.stream().filter(each -> each.sound() && each.at() < calmUntil - 1000).toList();
        List<Sent> after = SENT.stream()
                .filter(each -> each.sound() && each.at() > from && each.at() < end)
                .toList();
        double usual = before.stream().filter(Sent::begun).count() / (double) before.size();
        double now = after.stream().filter(Sent::begun).count() / (double) after.size();
        rig.log(String.format(
                Locale.ROOT,
                "sound requests that began at the first attempt: %.3f of %d before the first crash, %.3f of %d later than %d ms"
                        + " after the fifth or last crash; at least half as many must",
                usual, before.size(), now, after.size(), 2 * CONTACT_MILLIS));
        if (before.size() < MIN_JUDGED || after.size() < MIN_JUDGED) {
            return Rig.COULD_NOT_RUN;
        }
        return now < usual / 2 ? Rig.BROKEN : Rig.HELD;
    }

    private static int judgeBudget(Rig rig) {
        if (CRASHES.size() < FIFTH) {
            rig.log(CRASHES.size() + " crashes, so that the rule does not bind");
            return Rig.HELD;
        }
        long from = CRASHES.get(FIFTH - 1) + CONTACT_MILLIS;
        Set<String> late = new HashSet<>();
        rig.arrivals.stream()
                .filter(each -> each.at() > from && each.request().header("Prefix-Hash").contains(poison))
                .forEach(each -> late.add(each.id()));
        rig.log(CRASHES.size() + " crashes; " + late.size() + " requests with the part reached servers later than "
                + CONTACT_MILLIS + " ms after the fifth crash; allowed are " + MAX_LATE);
        return late.size() > MAX_LATE ? Rig.BROKEN : Rig.HELD;
    }

    private static void send(Rig rig, Rig.Node node, String part, String what) {
        long at = rig.now();
        boolean begun;
        boolean whole = false;
        String id = Rig.hex(16);
        String body = Rig.hex(64);
        String outcome;
        Rig.Client client = rig.new Client(node.ip, node.frontPort);
        try {
            Rig.Message answer = client.call(
                    "POST /digest/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
                            + "\r\nModel: m\r\nToken-Usage: 1000,72\r\nPrefix-Hash: " + sharedParts + part + ":100,"
                            + Rig.hex(digits) + ":100\r\nDeadline-Ms: 14000\r\nContent-Length: " + body.length() + "\r\n",
                    body.getBytes(StandardCharsets.ISO_8859_1),
                    14_000);
            outcome = answer.first;
            whole = answer.status() == 200;
        } catch (IOException e) {
            outcome = e.toString();
        } finally {
            begun = client.succeeded();
            client.close();
        }
        SENT.add(new Sent(at, part.equals(soundPart), begun, whole));
        String servers = rig.arrivals.stream()
                .filter(each -> each.id().equals(id))
                .map(each -> each.service() + " " + each.server())
                .toList()
                .toString();
        rig.log(what + " request " + id + " at " + node.name + ": " + outcome + ", reached " + servers);
    }
}
