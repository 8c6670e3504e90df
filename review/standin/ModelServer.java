import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of a service with a prefill and a decode stage.
 *
 * <p>It holds a request's slot and memory from the grant of a reservation, or from the request's arrival, to its end.
 */
final class ModelServer {

    private static final int SWITCH_MILLIS = 6000;
    private static final double PREFILL_TOKENS_PER_MILLI = 100.0 / 3;

    /** What a stream does beyond its events; called before each. */
    interface StreamFault {
        /** Returns false if the stream goes on as usual, true if the fault has ended it. */
        boolean before(String request, int event, OutputStream out) throws Exception;
    }

    /** One run of a stream: the request and how many events the run has made. */
    record Run(String request, int events) {}

    /** How long a stream is preempted before its next event. */
    interface Preemption {
        long millis(Run run);
    }

    private record Hold(int tokens, long untilNanos) {}

    final String service;
    final String zone;
    private volatile String stage;
    final Http.Listener listener;
    private final Store store;
    private final Record record;
    private final int slots;
    private final int kvCapacity;
    private final int eventMillis;
    private final AtomicInteger handles = new AtomicInteger();
    private final Map<String, Long> kvHandles = new ConcurrentHashMap<>();
    private final Map<String, Hold> holds = new ConcurrentHashMap<>();
    private int running;
    private int memory;
    private volatile String id;
    private volatile long born;
    private int orders;
    private long highestFence;
    private boolean busy;
    /** The answers that this server has begun so far. */
    final AtomicInteger answers = new AtomicInteger();

    volatile Preemption preemption = run -> 0;
    volatile StreamFault fault = (request, event, out) -> false;

    ModelServer(
            String service, String zone, String stage, int slots, int kvCapacity, int eventMillis, Store store,
            Record record)
            throws IOException {
        this.service = service;
        this.zone = zone;
        this.stage = stage;
        this.slots = slots;
        this.kvCapacity = kvCapacity;
        this.eventMillis = eventMillis;
        this.store = store;
        this.record = record;
        this.listener = new Http.Listener(0, this::handle);
        register();
    }

    String id() {
        return id;
    }

    synchronized int running() {
        return running;
    }

    private void register() {
        id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE).substring(0, 8);
        born = System.currentTimeMillis();
        write("ready");
    }

    private void write(String state) {
        store.put(
                "servers",
                id,
                Json.of(
                        "service", service, "address", listener.address(), "zone", zone, "version", "v1", "slots", slots,
                        "state", state, "cold_left_ms", 0, "stage", stage,
                        "models", List.of(Json.of("name", "m", "version", 1, "adapters", List.of())),
                        "seq", 1, "born", born));
    }

    /** Crashes; its entry goes after three intervals of silence. */
    void crash() throws IOException {
        String gone = id;
        record.line("crash of %s", gone);
        listener.kill();
        synchronized (this) {
            running = 0;
            memory = 0;
            holds.clear();
            kvHandles.clear();
        }
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(3600);
            } catch (InterruptedException e) {
                return;
            }
            store.remove("servers", gone);
        });
    }

    /** Starts anew with another id at the same address. */
    void startAgain() throws IOException {
        listener.listenAgain();
        register();
        record.line("start of %s", id);
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        answers.incrementAndGet();
        String target = request.target();
        String requestId = request.header("Request-Id");
        String echo = "Instance-Id: " + id + "\r\n" + (requestId == null ? "" : "Request-Id: " + requestId + "\r\n");
        String expected = request.header("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, echo + "Not-Executed: 1\r\n", "");
            return true;
        }
        if (target.equals("/healthz")) {
            Http.respond(out, 200, echo, "");
        } else if (target.equals("/report")) {
            Http.respond(out, 200, echo + "Content-Type: application/json\r\n", report());
        } else if (target.equals("/order")) {
            order(request, echo, out);
        } else if (target.equals("/hold-take")) {
            hold(request, echo, out);
        } else if (target.startsWith("/hold-drop/")) {
            Hold hold = holds.remove(target.substring("/hold-drop/".length()));
            if (hold != null) {
                free(hold.tokens());
            }
            Http.respond(out, 200, echo, "");
        } else if (target.startsWith("/kv-handle/")) {
            kvHandles.remove(target.substring("/kv-handle/".length()));
            Http.respond(out, 200, echo, "");
        } else if (requestId == null) {
            Http.respond(out, 400, echo + "Not-Executed: 1\r\n", "");
        } else if ("prefill".equals(request.header("Stage"))) {
            prefill(request, echo, out);
        } else {
            return decode(request, echo, out);
        }
        return true;
    }

    private void order(Http.Message request, String echo, OutputStream out) throws IOException {
        Map<String, Object> order = Json.object(Json.parse(request.text()));
        String to = (String) order.get("stage");
        long fence = (Long) order.get("fence");
        Object expected = order.get("expect");
        int status;
        synchronized (this) {
            if (fence < highestFence) {
                status = 412;
            } else if (busy || expected != null && (Long) expected != orders) {
                status = 409;
            } else {
                status = to.equals(stage) ? 200 : 202;
                highestFence = fence;
                orders += status == 202 ? 1 : 0;
                busy = status == 202;
            }
        }
        record.line("order at %s: %s, answered %d", id, request.text(), status);
        if (status == 202) {
            Thread.ofVirtual().start(() -> changeStage(to));
        }
        Http.respond(out, status, echo, "");
    }

    private void changeStage(String to) {
        try {
            Thread.sleep(SWITCH_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            stage = to;
            busy = false;
        }
        write("ready");
    }

    private synchronized String report() {
        return Json.write(Json.of(
                "stage", stage, "models", List.of(Json.of("name", "m", "version", 1, "adapters", List.of())), "busy",
                busy, "seq", orders, "queued", 0, "running", running, "kv_used", memory, "kv_total", kvCapacity,
                "kv_handles", kvHandles.size(), "born", born));
    }

    private synchronized boolean take(int tokens) {
        long now = System.nanoTime();
        holds.entrySet().removeIf(each -> {
            boolean lapsed = each.getValue().untilNanos() < now;
            if (lapsed) {
                free(each.getValue().tokens());
            }
            return lapsed;
        });
        if (running >= slots || memory + tokens > kvCapacity) {
            return false;
        }
        running++;
        memory += tokens;
        return true;
    }

    private synchronized void free(int tokens) {
        running = Math.max(0, running - 1);
        memory = Math.max(0, memory - tokens);
    }

    private void hold(Http.Message request, String echo, OutputStream out) throws IOException {
        Map<String, Object> body = Json.object(Json.parse(request.text()));
        int tokens = ((Long) body.get("tokens")).intValue();
        if (!take(tokens)) {
            Http.respond(out, 503, echo + "Not-Executed: 1\r\n", "");
            return;
        }
        String hold = "h-" + handles.incrementAndGet();
        holds.put(hold, new Hold(tokens, System.nanoTime() + (Long) body.get("ttl_ms") * 1_000_000));
        Http.respond(out, 200, echo + "Content-Type: application/json\r\n", Json.write(Json.of("hold", hold)));
    }

    private static int[] tokens(Http.Message request) {
        String[] parts = request.header("Token-Usage").split(",");
        return new int[] {Integer.parseInt(parts[0].trim()), Integer.parseInt(parts[1].trim())};
    }

    private void prefill(Http.Message request, String echo, OutputStream out) throws Exception {
        int prompt = tokens(request)[0];
        if (!stage.equals("prefill")) {
            Http.respond(out, 421, echo + "Not-Executed: 1\r\n", "");
            return;
        }
        Thread.sleep((long) (prompt / PREFILL_TOKENS_PER_MILLI));
        String handle = Long.toHexString(ThreadLocalRandom.current().nextLong());
        kvHandles.put(handle, System.nanoTime());
        Http.respond(
                out,
                200,
                echo + "Content-Type: application/json\r\n",
                Json.write(Json.of("kv_handle", handle, "tokens", prompt, "version", 1)));
    }

    private boolean decode(Http.Message request, String echo, OutputStream out) throws Exception {
        String requestId = request.header("Request-Id");
        int[] tokens = tokens(request);
        if (!stage.equals("decode")) {
            Http.respond(out, 421, echo + "Not-Executed: 1\r\n", "");
            return true;
        }
        String named = request.header("Kv-Hold");
        Hold hold = named == null ? null : holds.remove(named);
        int room = tokens[0] + tokens[1];
        if (hold != null) {
            room = hold.tokens();
        } else if (!take(room)) {
            Http.respond(out, 503, echo + "Not-Executed: 1\r\n", "");
            return true;
        }
        try {
            if (request.header("Kv-Source") == null) {
                Thread.sleep((long) (2 * tokens[0] / PREFILL_TOKENS_PER_MILLI));
            } else {
                Thread.sleep(20);
            }
            String last = request.header("Last-Event-Id");
            int first = last == null ? 1 : Integer.parseInt(last) + 1;
            record.line("run of %s at %s from event %d", requestId, id, first);
            Http.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + echo + "Response-Signature: s." + requestId
                            + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = first; event <= tokens[1]; event++) {
                if (fault.before(requestId, event, out)) {
                    return false;
                }
                long preempted = preemption.millis(new Run(requestId, event - first));
                if (preempted > 0) {
                    record.line("%s preempts %s before event %d for %d ms", id, requestId, event, preempted);
                    Thread.sleep(preempted);
                }
                Http.writeChunk(out, "id: " + event + "\ndata: " + requestId + "/" + event + "\n\n");
                Thread.sleep(eventMillis);
            }
            Http.write(out, "0\r\n\r\n");
            return true;
        } finally {
            free(room);
        }
    }
}
