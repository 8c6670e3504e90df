package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, conditional writes, lists and watches. */
public final class Store {

    public static final ObjectMapper JSON = new ObjectMapper();

    private record Event(String kind, long revision, ObjectNode object, boolean tombstone) {}

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    private final ServerSocket listening;
    /** The connections on which a watch waits now. */
    private final java.util.Set<Socket> watching = java.util.concurrent.ConcurrentHashMap.newKeySet();

    private volatile boolean losing;
    private int calls;
    private int lost;

    /**
     * From now on, or no longer, loses the answers of watches that have something to tell. A connection on which an answer
     * is lost stays open and returns nothing further.
     */
    public synchronized void loseAnswers(boolean on) {
        losing = on;
        if (on) {
            calls = 0;
            lost = 0;
        }
    }

    /** Returns how many answers were lost since the store began to lose them, and of how many. */
    public synchronized String lost() {
        return lost + " of " + calls;
    }

    /** Counts a call of a server, which reports its status. */
    public synchronized void countCall() {
        calls++;
    }

    /** Cuts off the watches that wait; returns how many there were. */
    public int cutWatches() {
        int cut = 0;
        for (Socket socket : watching) {
            try {
                socket.close();
                cut++;
            } catch (IOException e) {
                // Closed.
            }
        }
        return cut;
    }

    public Store() throws IOException {
        listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean mute = false;
            for (Http.Message request = Http.request(in); request != null; request = Http.request(in)) {
                mute = mute || !answer(request, out, socket);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        }
    }

    /** Answers a call; returns false if the answer is lost. */
    private boolean answer(Http.Message request, OutputStream out, Socket socket) throws IOException, InterruptedException {
        String[] target = request.path().split("\\?", 2);
        String[] path = target[0].split("/");
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String each : target[1].split("&")) {
                String[] pair = each.split("=", 2);
                query.put(pair[0], pair.length > 1 ? pair[1] : "");
            }
        }
        String kind = path[2];
        String name = path.length > 3 ? path[3] : null;
        int[] status = {200};
        JsonNode body;
        if (request.method().equals("GET") && query.containsKey("watch")) {
            watching.add(socket);
            try {
                body = watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
            } finally {
                watching.remove(socket);
            }
        } else {
            body = call(request, kind, name, status);
        }
        synchronized (this) {
            calls++;
            if (losing && !body.path("events").isEmpty()) {
                lost++;
                return false;
            }
        }
        Http.respond(out, status[0], List.of("Content-Type: application/json"), JSON.writeValueAsBytes(body));
        return true;
    }

    private synchronized JsonNode call(Http.Message request, String kind, String name, int[] status)
            throws IOException {
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, each -> new TreeMap<>());
        switch (request.method()) {
            case "GET" -> {
                if (name == null) {
                    ObjectNode page = JSON.createObjectNode();
                    ArrayNode items = page.putArray("items");
                    objects.values().forEach(items::add);
                    return page.put("has_more", false).put("as_of", revision);
                }
                ObjectNode found = objects.get(name);
                status[0] = found == null ? 404 : 200;
                return found == null ? JSON.createObjectNode() : found;
            }
            case "POST", "PUT" -> {
                JsonNode sent = JSON.readTree(request.body);
                String written = name == null ? sent.path("metadata").path("name").asText() : name;
                ObjectNode known = objects.get(written);
                JsonNode condition = sent.path("metadata").path("revision");
                boolean post = request.method().equals("POST");
                if (post && known != null
                        || known != null
                                && condition.isNumber()
                                && condition.asLong() != known.path("metadata").path("revision").asLong()) {
                    status[0] = 409;
                    return known;
                }
                if (!post && known == null) {
                    status[0] = 404;
                    return JSON.createObjectNode();
                }
                status[0] = post ? 201 : 200;
                return put(kind, written, sent.path("spec"));
            }
            default -> {
                remove(kind, name);
                return JSON.createObjectNode();
            }
        }
    }

    /** Writes an object as the operator or a server does; the return is the confirmation. */
    public synchronized ObjectNode put(String kind, String name, JsonNode spec) {
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, each -> new TreeMap<>());
        ObjectNode object = JSON.createObjectNode();
        object.putObject("metadata").put("name", name).put("revision", ++revision).put("created", revision)
                .put("deleting", false).putArray("finalizers");
        object.set("spec", spec);
        object.putNull("status");
        objects.put(name, object);
        history.add(new Event(kind, revision, object, false));
        notifyAll();
        return object;
    }

    /** Removes an object. */
    public synchronized void remove(String kind, String name) {
        ObjectNode object = kinds.computeIfAbsent(kind, each -> new TreeMap<>()).remove(name);
        if (object != null) {
            history.add(new Event(kind, ++revision, object, true));
            notifyAll();
        }
    }

    private synchronized JsonNode watch(String kind, long since, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        List<Event> found = events(kind, since);
        while (found.isEmpty()) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
            found = events(kind, since);
        }
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode events = answer.putArray("events");
        for (Event event : found) {
            events.addObject().put("tombstone", event.tombstone()).set("object", event.object());
        }
        return answer.put("as_of", revision);
    }

    private List<Event> events(String kind, long since) {
        return history.stream().filter(event -> event.kind().equals(kind) && event.revision() > since).toList();
    }
}
