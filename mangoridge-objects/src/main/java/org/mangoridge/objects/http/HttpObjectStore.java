package org.mangoridge.objects.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.http.Json;
import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WatchBatch;
import org.mangoridge.objects.WatchChange;
import org.mangoridge.objects.WriteOutcome;

/** Client for the object API over HTTP, which {@code docs/PLATFORM-PROTOCOL.md} specifies. */
public final class HttpObjectStore implements ObjectStore {

    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int MIN_SERVER_ERROR = 500;

    private final HttpTransport transport;
    private final HostPort address;
    private final Duration timeout;

    private HttpObjectStore(HttpTransport transport, HostPort address, Duration timeout) {
        this.transport = transport;
        this.address = address;
        this.timeout = timeout;
    }

    /** Creates a client; calls time out after {@code timeout}, watches after their wait plus {@code timeout}. */
    public static HttpObjectStore create(HttpTransport transport, HostPort address, Duration timeout) {
        return new HttpObjectStore(transport, address, timeout);
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        Result<HttpAnswer, HttpFailure> sent = transport.send(HttpCall.get(address.httpUri(path(key)), timeout));
        if (sent.isOk() && sent.value().status() == NOT_FOUND) {
            return Result.ok(Optional.empty());
        }
        return decode(sent, PlatformMessages.ObjectMessage.class).map(message -> Optional.of(object(message)));
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        String query = "/objects?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
        return decode(transport.send(HttpCall.get(address.httpUri(query), timeout)), PlatformMessages.ObjectList.class)
                .map(list ->
                        list.objects().stream().map(HttpObjectStore::object).toList());
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        Checks.argument(value.length <= MAX_VALUE_BYTES, "value is larger than %d bytes", MAX_VALUE_BYTES);
        Headers headers =
                switch (condition) {
                    case Precondition.Absent absent -> Headers.of(PlatformMessages.IF_NONE_MATCH, "*");
                    case Precondition.AtVersion at ->
                        Headers.of(PlatformMessages.IF_MATCH, Long.toString(at.version()));
                };
        return outcome(transport.send(new HttpCall("PUT", address.httpUri(path(key)), headers, value, timeout)));
    }

    @Override
    public WriteOutcome delete(ObjectKey key, long version) {
        return outcome(transport.send(HttpCall.delete(address.httpUri(path(key)), timeout)
                .withHeader(PlatformMessages.IF_MATCH, Long.toString(version))));
    }

    @Override
    public Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait) {
        String query = "/watch?prefix=" + encode(prefix) + "&after=" + revision + "&wait=" + wait.toMillis();
        return decode(
                        transport.send(HttpCall.get(address.httpUri(query), wait.plus(timeout))),
                        PlatformMessages.Changes.class)
                .map(changes -> new WatchBatch(
                        changes.revision(),
                        changes.complete(),
                        changes.changes().stream().map(HttpObjectStore::change).toList()));
    }

    @Override
    public Result<List<ListedInstance>, StoreFailure> instances() {
        return decode(
                        transport.send(HttpCall.get(address.httpUri("/instances"), timeout)),
                        PlatformMessages.InstanceList.class)
                .map(list ->
                        list.instances().stream().map(HttpObjectStore::instance).toList());
    }

    private static WriteOutcome outcome(Result<HttpAnswer, HttpFailure> sent) {
        return switch (sent) {
            case Result.Err<HttpAnswer, HttpFailure> err -> callFailed(err.error());
            case Result.Ok<HttpAnswer, HttpFailure> ok -> responseReceived(ok.value());
        };
    }

    private static WriteOutcome callFailed(HttpFailure failure) {
        return failure.progress().verdict() == Verdict.NOT_RUN
                ? new WriteOutcome.NotWritten(failure.detail())
                : new WriteOutcome.Unknown(failure.detail());
    }

    private static WriteOutcome responseReceived(HttpAnswer answer) {
        if (answer.isSuccess()) {
            return switch (Json.read(answer.body(), PlatformMessages.Written.class)) {
                case Result.Ok<PlatformMessages.Written, String> ok ->
                    new WriteOutcome.Written(ok.value().version());
                case Result.Err<PlatformMessages.Written, String> err -> new WriteOutcome.Unknown(err.error());
            };
        }
        if (answer.status() == PRECONDITION_FAILED) {
            return new WriteOutcome.Conflict();
        }
        String detail = "the store answered with status " + answer.status();
        return answer.status() >= MIN_SERVER_ERROR
                ? new WriteOutcome.Unknown(detail)
                : new WriteOutcome.NotWritten(detail);
    }

    private static <T> Result<T, StoreFailure> decode(Result<HttpAnswer, HttpFailure> sent, Class<T> type) {
        return switch (sent) {
            case Result.Err<HttpAnswer, HttpFailure> err ->
                Result.err(new StoreFailure(err.error().detail()));
            case Result.Ok<HttpAnswer, HttpFailure> ok
            when !ok.value().isSuccess() ->
                Result.err(new StoreFailure(
                        "the store answered with status " + ok.value().status()));
            case Result.Ok<HttpAnswer, HttpFailure> ok ->
                switch (Json.read(ok.value().body(), type)) {
                    case Result.Ok<T, String> read -> Result.ok(read.value());
                    case Result.Err<T, String> unreadable -> Result.err(new StoreFailure(unreadable.error()));
                };
        };
    }

    private static StoredObject object(PlatformMessages.ObjectMessage message) {
        return new StoredObject(ObjectKey.of(message.key()), message.version(), message.value());
    }

    private static WatchChange change(PlatformMessages.ObjectMessage message) {
        return message.value() == null
                ? new WatchChange.Deleted(ObjectKey.of(message.key()), message.version())
                : new WatchChange.Put(object(message));
    }

    private static ListedInstance instance(PlatformMessages.InstanceMessage message) {
        return new ListedInstance(
                InstanceId.of(message.id()),
                AvailabilityZone.of(message.zone()),
                HostPort.parse(message.peerAddress()),
                message.leaving());
    }

    private static String path(ObjectKey key) {
        return "/objects/" + key.path();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
