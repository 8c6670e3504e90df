package org.mangoridge.standin.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.http.Headers;
import org.mangoridge.http.Json;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.objects.http.PlatformMessages;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;
import org.mangoridge.web.WebServer;

/** Serves the platform's object API from memory. */
public final class PlatformStandIn implements AutoCloseable, WebHandler {

    /**
     * The answer to {@code GET /counts}.
     *
     * @param calls the calls so far by kind
     * @param waitingWatches the watches that wait now
     */
    record Counts(Map<CallCounts.Kind, Long> calls, int waitingWatches) {}

    /**
     * The body of {@code POST /instances}.
     *
     * @param put an instance to add or replace, or null
     * @param remove the name of one to remove, or null
     * @param hold whether answers go on showing the list as it was before
     */
    record InstanceChange(PlatformMessages.InstanceMessage put, String remove, boolean hold) {}

    private static final String OBJECTS = "/objects";
    private static final int DEFAULT_LIST_LIMIT = 1000;
    private static final int MAX_WAIT_MILLIS = 60_000;
    private static final int MAX_BODY_BYTES = ObjectStore.MAX_VALUE_BYTES;

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
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
        return store.instanceTable();
    }

    /** Returns the faults that the platform shows. */
    public PlatformFaults faults() {
        return store.faults();
    }

    /** Returns the counts of calls. */
    public CallCounts counts() {
        return store.counts();
    }

    @Override
    public void close() {
        server.close();
    }

    @Override
    public WebReply handle(WebRequest request) {
        return switch (request.method() + " " + request.path()) {
            case "POST /faults" -> changeFaults(request);
            case "POST /instances" -> changeInstances(request);
            case "GET /counts" ->
                WebReply.json(
                        200, new Counts(store.counts().byKind(), store.counts().waitingWatches()));
            default -> platformCall(request);
        };
    }

    private WebReply platformCall(WebRequest request) {
        delay(store.faults().slowMillis());
        if (request.is("GET", "/instances")) {
            return answer(store.instances().map(PlatformMessageMapper::instances));
        }
        if (request.is("GET", "/watch")) {
            return watch(request);
        }
        if (request.is("GET", OBJECTS)) {
            return list(request);
        }
        if (request.path().startsWith(OBJECTS + "/")) {
            return object(request, ObjectKey.of(request.path().substring(OBJECTS.length() + 1)));
        }
        return WebReply.json(404, ErrorBody.of("not_found", "no such path"));
    }

    private WebReply object(WebRequest request, ObjectKey key) {
        return switch (request.method()) {
            case "GET" -> read(key);
            case "PUT" -> written(store.write(key, request.body(), condition(request.headers())));
            case "DELETE" -> written(store.delete(key, expectedVersion(request.headers())));
            default -> WebReply.json(405, ErrorBody.of("method", "GET, PUT or DELETE"));
        };
    }

    private WebReply read(ObjectKey key) {
        Result<Optional<StoredObject>, StoreFailure> read = store.read(key);
        if (read.isOk() && read.value().isEmpty()) {
            return WebReply.json(404, ErrorBody.of("absent", "there is no such object"));
        }
        return answer(read.map(object -> PlatformMessageMapper.object(object.get())));
    }

    private WebReply list(WebRequest request) {
        String prefix = request.queryValue("prefix").orElse("");
        String after = request.queryValue("after").orElse("");
        int limit = request.queryValue("limit").map(Integer::parseInt).orElse(DEFAULT_LIST_LIMIT);
        return answer(store.list(prefix, after, limit).map(PlatformMessageMapper::list));
    }

    private WebReply watch(WebRequest request) {
        String prefix = request.queryValue("prefix").orElse("");
        long after = request.queryValue("after").map(Long::parseLong).orElse(0L);
        int wait = Math.min(
                MAX_WAIT_MILLIS,
                request.queryValue("wait").map(Integer::parseInt).orElse(0));
        return answer(store.watch(prefix, after, Duration.ofMillis(wait)).map(PlatformMessageMapper::changes));
    }

    private WebReply changeFaults(WebRequest request) {
        Result<PlatformFaults.Change, String> change = Json.read(request.body(), PlatformFaults.Change.class);
        if (!change.isOk()) {
            return WebReply.json(400, ErrorBody.of("malformed", change.error()));
        }
        store.faults().change(change.value());
        if (change.value().saveCopy()) {
            store.saveCopy();
        }
        if (change.value().restoreCopy()) {
            store.restoreCopy();
        }
        if (change.value().releaseWrites()) {
            store.releaseWrites();
        }
        return WebReply.text(200, "done\n");
    }

    private WebReply changeInstances(WebRequest request) {
        Result<InstanceChange, String> change = Json.read(request.body(), InstanceChange.class);
        if (!change.isOk()) {
            return WebReply.json(400, ErrorBody.of("malformed", change.error()));
        }
        store.instanceTable().freeze(change.value().hold());
        if (change.value().put() != null) {
            store.instanceTable().put(change.value().put());
        }
        if (change.value().remove() != null) {
            store.instanceTable().remove(change.value().remove());
        }
        return WebReply.text(200, "done\n");
    }

    private static WebReply answer(Result<?, StoreFailure> result) {
        return switch (result) {
            case Result.Ok<?, StoreFailure> ok -> WebReply.json(200, ok.value());
            case Result.Err<?, StoreFailure> err ->
                WebReply.json(503, ErrorBody.of("out", err.error().detail()));
        };
    }

    private static WebReply written(WriteOutcome outcome) {
        return switch (outcome) {
            case WriteOutcome.Written written -> WebReply.json(200, new PlatformMessages.Written(written.version()));
            case WriteOutcome.Conflict conflict ->
                WebReply.json(412, ErrorBody.of("precondition", "the condition does not hold"));
            case WriteOutcome.NotWritten notWritten -> WebReply.json(400, ErrorBody.of("refused", notWritten.detail()));
            case WriteOutcome.Unknown unknown -> new WebReply.Dropped();
        };
    }

    private static Precondition condition(Headers headers) {
        long version = expectedVersion(headers);
        return version == 0 ? Precondition.absent() : Precondition.atVersion(version);
    }

    private static void delay(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the version that a conditional write names; 0 means that the object must not exist. */
    private static long expectedVersion(Headers headers) {
        return headers.value(PlatformMessages.IF_MATCH).map(Long::parseLong).orElse(0L);
    }

    /** Returns a page of all objects, for tests that look at what was stored. */
    public List<PlatformMessages.ObjectMessage> stored(String prefix) {
        return store.list(prefix, "", Integer.MAX_VALUE)
                .map(PlatformMessageMapper::list)
                .map(PlatformMessages.ObjectList::objects)
                .value();
    }
}
