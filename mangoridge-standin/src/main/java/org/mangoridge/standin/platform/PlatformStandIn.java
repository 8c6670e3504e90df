package org.mangoridge.standin.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.net.HostPort;
import org.mangoridge.http.Headers;
import org.mangoridge.platform.ObjectStore;
import org.mangoridge.platform.http.PlatformMessages;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;
import org.mangoridge.web.WebServer;

/** Serves the platform's object API from memory. */
public final class PlatformStandIn implements AutoCloseable, WebHandler {

    private static final String OBJECTS = "/objects";
    private static final int DEFAULT_LIST_LIMIT = 1000;
    private static final int MAX_WAIT_MILLIS = 60_000;
    private static final int MAX_BODY_BYTES = ObjectStore.MAX_VALUE_BYTES;

    private final ObjectTable table = new ObjectTable();
    private final InstanceTable instances = new InstanceTable();
    private WebServer server;

    private PlatformStandIn() {}

    /** Starts a platform that listens on {@code bind}. */
    public static PlatformStandIn start(HostPort bind) {
        PlatformStandIn platform = new PlatformStandIn();
        platform.server = WebServer.start(bind, MAX_BODY_BYTES, 1, platform);
        return platform;
    }

    /** Returns the address listened on. */
    public HostPort address() {
        return server.address();
    }

    /** Returns the list of instances that the platform answers with. */
    public InstanceTable instances() {
        return instances;
    }

    @Override
    public void close() {
        server.close();
    }

    @Override
    public WebReply handle(WebRequest request) {
        if (request.is("GET", "/instances")) {
            return WebReply.json(200, new PlatformMessages.InstanceList(instances.list()));
        }
        if (request.is("GET", "/watch")) {
            return watch(request);
        }
        if (request.is("GET", OBJECTS)) {
            return list(request);
        }
        if (request.path().startsWith(OBJECTS + "/")) {
            return object(request, request.path().substring(OBJECTS.length() + 1));
        }
        return WebReply.json(404, ErrorBody.of("not_found", "no such path"));
    }

    private WebReply object(WebRequest request, String key) {
        return switch (request.method()) {
            case "GET" ->
                table.read(key)
                        .map(object -> WebReply.json(200, object))
                        .orElseGet(() -> WebReply.json(404, ErrorBody.of("absent", "there is no such object")));
            case "PUT" -> written(table.write(key, request.body(), expectedVersion(request.headers())));
            case "DELETE" -> written(table.delete(key, expectedVersion(request.headers())));
            default -> WebReply.json(405, ErrorBody.of("method", "GET, PUT or DELETE"));
        };
    }

    private WebReply list(WebRequest request) {
        String prefix = request.queryValue("prefix").orElse("");
        String after = request.queryValue("after").orElse("");
        int limit = request.queryValue("limit").map(Integer::parseInt).orElse(DEFAULT_LIST_LIMIT);
        return WebReply.json(200, new PlatformMessages.ObjectList(table.list(prefix, after, limit)));
    }

    private WebReply watch(WebRequest request) {
        String prefix = request.queryValue("prefix").orElse("");
        long after = request.queryValue("after").map(Long::parseLong).orElse(0L);
        int wait = Math.min(
                MAX_WAIT_MILLIS,
                request.queryValue("wait").map(Integer::parseInt).orElse(0));
        return WebReply.json(200, table.watch(prefix, after, Duration.ofMillis(wait)));
    }

    private static WebReply written(Optional<Long> version) {
        return version.map(value -> WebReply.json(200, new PlatformMessages.Written(value)))
                .orElseGet(() -> WebReply.json(412, ErrorBody.of("precondition", "the condition does not hold")));
    }

    /** Returns the version that a conditional write names; 0 means that the object must not exist. */
    private static long expectedVersion(Headers headers) {
        return headers.value(PlatformMessages.IF_MATCH).map(Long::parseLong).orElse(0L);
    }

    /** Returns a page of all objects, for tests that look at what was stored. */
    public List<PlatformMessages.ObjectMessage> stored(String prefix) {
        return table.list(prefix, "", Integer.MAX_VALUE);
    }
}
