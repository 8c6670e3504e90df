package rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/** A model server: reads prompts one after the other, or makes tokens, as its stage says. */
public class ModelServer extends Server {

    private static final double TOKENS_PER_MILLI = 100 / 3.0;

    private final boolean prefills;
    private final AtomicInteger numbers = new AtomicInteger();
    private final ReentrantLock reading = new ReentrantLock(true);
    private final Set<String> holds = ConcurrentHashMap.newKeySet();
    /** The handles of all servers, which the one that makes the tokens takes. */
    private static final Map<String, String> HANDLES = new ConcurrentHashMap<>();

    /** How many times as long the reading of a prompt takes. */
    public volatile double slowdown = 1;
    /** Milliseconds between two events. */
    public volatile int eventMillis = 30;

    public volatile int events = 30;
    public volatile long lastHoldAt = -1;

    public ModelServer(Record record, Store store, String id, String service, String zone, String stage)
            throws IOException {
        super(record, store, id, service, zone, stage, 16);
        this.prefills = stage.equals("prefill");
    }

    /** Called when a request that makes tokens has arrived. */
    protected void decodeArrived(Http.Message request) {}

    /** Called when a prompt to read has arrived. */
    protected void promptArrived(Http.Message request) {}

    @Override
    protected void handle(Http.Message request, Connection connection) throws IOException, InterruptedException {
        String path = request.path();
        if (path.equals("/report")) {
            Http.respond(connection.out, 200, List.of("Content-Type: application/json"),
                    ("{\"stage\":\"" + (prefills ? "prefill" : "decode")
                            + "\",\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":29250}")
                            .getBytes(StandardCharsets.UTF_8));
        } else if (path.equals("/hold-take")) {
            lastHoldAt = record.now();
            String hold = id + "-h" + numbers.incrementAndGet();
            holds.add(hold);
            record.add(id + " grants " + hold);
            Http.respond(connection.out, 200, List.of("Content-Type: application/json"),
                    ("{\"hold\":\"" + hold + "\"}").getBytes(StandardCharsets.UTF_8));
        } else if (request.method().equals("DELETE")) {
            Http.respond(connection.out, 200, List.of(), new byte[0]);
        } else if ("prefill".equals(request.header("Stage"))) {
            readPrompt(request, connection);
        } else {
            makeTokens(request, connection);
        }
    }

    private void readPrompt(Http.Message request, Connection connection) throws IOException, InterruptedException {
        String requestId = request.header("Request-Id");
        int tokens = Integer.parseInt(request.header("Token-Usage").split(",")[0]);
        record.add(id + " gets the prompt of " + requestId + ", " + tokens + " tokens");
        promptArrived(request);
        reading.lock();
        try {
            long until = System.nanoTime() + (long) (tokens / TOKENS_PER_MILLI * slowdown * 1e6);
            while (System.nanoTime() < until) {
                Thread.sleep(5);
                if (connection.isGone()) {
                    record.add(id + " drops the prompt of " + requestId + ", its caller has gone");
                    throw new IOException("gone");
                }
            }
        } finally {
            reading.unlock();
        }
        String handle = id + "-k" + numbers.incrementAndGet();
        HANDLES.put(handle, requestId);
        record.add(id + " has read the prompt of " + requestId);
        Http.respond(connection.out, 200,
                List.of("Content-Type: application/json", "Request-Id: " + requestId),
                ("{\"kv_handle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    private void makeTokens(Http.Message request, Connection connection) throws IOException, InterruptedException {
        String requestId = request.header("Request-Id");
        record.add(id + " gets " + requestId + " to run, Kv-Source " + request.header("Kv-Source") + ", Kv-Hold "
                + request.header("Kv-Hold"));
        decodeArrived(request);
        String source = request.header("Kv-Source");
        if (prefills) {
            Http.respond(connection.out, 421,
                    List.of("Not-Executed: 1", "Instance-Id: " + id, "Request-Id: " + requestId), new byte[0]);
            return;
        }
        if (source != null && HANDLES.remove(source.substring(source.indexOf('/') + 1)) == null) {
            Http.respond(connection.out, 503, List.of("Not-Executed: 1", "Request-Id: " + requestId), new byte[0]);
            return;
        }
        long first = 1;
        if (request.header("Last-Event-Id") != null) {
            first = Long.parseLong(request.header("Last-Event-Id")) + 1;
        }
        record.add(id + " runs " + requestId);
        List<String> headers = new ArrayList<>(List.of("Content-Type: text/event-stream", "Request-Id: " + requestId,
                "Response-Signature: sig-" + id + "-" + requestId));
        Http.begin(connection.out, headers);
        int last = events;
        for (long event = first; event <= last; event++) {
            Thread.sleep(eventMillis);
            Http.chunk(connection.out, "id: " + event + "\ndata: " + requestId + " " + event + "\n\n");
        }
        Http.chunk(connection.out, "");
        record.add(id + " has ended " + requestId);
    }
}
