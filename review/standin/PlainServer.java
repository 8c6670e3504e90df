import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;

/** A server of a plain service: runs a number of requests at once and queues some more. */
final class PlainServer {

    private static final int QUEUE = 24;

    private final Store store;
    private final Record record;
    private final int slots;
    private final int workMillis;
    private final Semaphore running;
    private final Semaphore accepted;
    final Http.Listener listener;
    final String id;
    /** Writes an answer of its own instead; returns whether it did. */
    interface AnswerFault {
        boolean answer(String request, OutputStream out) throws Exception;
    }

    volatile AnswerFault fault = (request, out) -> false;

    PlainServer(String service, String zone, int slots, int workMillis, Store store, Record record) throws IOException {
        this.store = store;
        this.record = record;
        this.slots = slots;
        this.workMillis = workMillis;
        this.running = new Semaphore(slots, true);
        this.accepted = new Semaphore(slots + QUEUE);
        this.listener = new Http.Listener(0, this::handle);
        this.id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE).substring(0, 8);
        store.put(
                "servers",
                id,
                Json.of(
                        "service", service, "address", listener.address(), "zone", zone, "version", "v1", "slots", slots,
                        "state", "ready", "cold_left_ms", 0, "seq", 1, "born", System.currentTimeMillis()));
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String requestId = request.header("Request-Id");
        String echo = "Instance-Id: " + id + "\r\n" + (requestId == null ? "" : "Request-Id: " + requestId + "\r\n");
        String expected = request.header("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, echo + "Not-Executed: 1\r\n", "");
        } else if (requestId == null) {
            Http.respond(out, 400, echo + "Not-Executed: 1\r\n", "");
        } else if (!accepted.tryAcquire()) {
            Http.respond(out, 503, echo + "Not-Executed: 1\r\n", "");
        } else {
            try {
                running.acquire();
                try {
                    record.line("run of %s at %s", requestId, id);
                    Thread.sleep(workMillis);
                } finally {
                    running.release();
                }
            } finally {
                accepted.release();
            }
            if (fault.answer(requestId, out)) {
                return false;
            }
            Http.respond(out, 200, echo + "Response-Signature: s." + requestId + "\r\n", "r".repeat(800));
        }
        return true;
    }
}
