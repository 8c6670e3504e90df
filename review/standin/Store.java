import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, with a revision counter, lists and watches. */
final class Store {

    private record Change(long revision, String kind, boolean removed, Map<String, Object> object) {}

    final Http.Listener listener;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;

    Store() throws IOException {
        listener = new Http.Listener(0, (request, out, socket) -> {
            handle(request, out);
            return true;
        });
    }

    /** Writes an object as the operator and the servers do. */
    synchronized void put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> known = objects(kind).get(name);
        if (known != null && known.get("spec").equals(spec)) {
            return;
        }
        revision++;
        Object created = known == null ? revision : Json.object(known.get("metadata")).get("created");
        Map<String, Object> object = Json.of(
                "metadata",
                Json.of(
                        "name", name, "revision", revision, "created", created, "finalizers", List.of(), "deleting", false),
                "spec",
                spec,
                "status",
                null);
        objects(kind).put(name, object);
        history.add(new Change(revision, kind, false, object));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = objects(kind).remove(name);
        if (known != null) {
            revision++;
            history.add(new Change(revision, kind, true, known));
            notifyAll();
        }
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return kinds.computeIfAbsent(kind, each -> new TreeMap<>());
    }

    private void handle(Http.Message request, OutputStream out) throws Exception {
        String target = request.target();
        int mark = target.indexOf('?');
        String[] path = (mark < 0 ? target : target.substring(0, mark)).split("/");
        Map<String, String> query = new TreeMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                query.put(pair.split("=")[0], java.net.URLDecoder.decode(pair.split("=")[1], "UTF-8"));
            }
        }
        String kind = path[2];
        String name = path.length > 3 ? path[3] : null;
        switch (request.method()) {
            case "GET" -> {
                if (query.containsKey("watch")) {
                    watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")), out);
                } else if (name != null) {
                    Map<String, Object> object;
                    synchronized (this) {
                        object = objects(kind).get(name);
                    }
                    answer(out, object == null ? 404 : 200, object == null ? Map.of() : object);
                } else {
                    list(kind, query.getOrDefault("after", ""), out);
                }
            }
            case "POST", "PUT" -> write(request, kind, name, out);
            default -> answer(out, 404, Map.of());
        }
    }

    private void list(String kind, String after, OutputStream out) throws IOException {
        Map<String, Object> body;
        synchronized (this) {
            List<Object> items = new ArrayList<>(objects(kind).tailMap(after, false).values());
            body = Json.of("items", items, "has_more", false, "as_of", revision);
        }
        answer(out, 200, body);
    }

    private void watch(String kind, long since, long waitMillis, OutputStream out) throws Exception {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        Map<String, Object> body;
        synchronized (this) {
            while (true) {
                List<Object> events = new ArrayList<>();
                for (Change change : history) {
                    if (change.revision() > since && change.kind().equals(kind)) {
                        events.add(Json.of("object", change.object(), "tombstone", change.removed()));
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    body = Json.of("events", events, "as_of", revision);
                    break;
                }
                wait(left);
            }
        }
        answer(out, 200, body);
    }

    private void write(Http.Message request, String kind, String named, OutputStream out) throws IOException {
        Map<String, Object> body = Json.object(Json.parse(request.text()));
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        String name = named == null ? (String) metadata.get("name") : named;
        Map<String, Object> result;
        int status;
        synchronized (this) {
            Map<String, Object> known = objects(kind).get(name);
            Object condition = metadata.get("revision");
            if (request.method().equals("POST") && known != null) {
                status = 409;
            } else if (request.method().equals("PUT") && known == null) {
                status = 404;
            } else if (condition != null && !condition.equals(Json.object(known.get("metadata")).get("revision"))) {
                status = 409;
            } else {
                status = known == null ? 201 : 200;
                put(kind, name, Json.object(body.get("spec")));
            }
            known = objects(kind).get(name);
            result = known == null ? Map.of() : known;
        }
        answer(out, status, result);
    }

    private static void answer(OutputStream out, int status, Map<String, Object> body) throws IOException {
        Http.respond(out, status, "Content-Type: application/json\r\nStore-Era: 1\r\n", Json.write(body));
    }
}
