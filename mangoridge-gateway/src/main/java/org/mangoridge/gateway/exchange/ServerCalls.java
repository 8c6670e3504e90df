package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.limit.RateLimit;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamPool;
import org.mangoridge.gateway.net.UpstreamRequest;

/**
 * The one way to call a server: counts the calls and reads what every answer announces; used on the event loop.
 *
 * <p>Calls to the platform's store do not go through here.
 */
public final class ServerCalls {

    private final UpstreamPool pool;
    private final WireDialect dialect;
    private final GatewayMetrics metrics;
    private final EventSink log;
    /** The limits that servers announced last; those without one are absent. */
    private final Map<ServerRun, RateLimit> limits = new HashMap<>();

    private ServerCalls(UpstreamPool pool, WireDialect dialect, GatewayMetrics metrics, EventSink log) {
        this.pool = pool;
        this.dialect = dialect;
        this.metrics = metrics;
        this.log = log;
    }

    /** Returns an object that makes calls over the connections of a pool. */
    public static ServerCalls create(UpstreamPool pool, WireDialect dialect, GatewayMetrics metrics, EventSink log) {
        return new ServerCalls(pool, dialect, metrics, log);
    }

    /** Calls a server; {@code listener} receives the events of the call unless it is cancelled. */
    public UpstreamCall call(ServerEntry server, CallKind kind, UpstreamRequest request, CallListener listener) {
        metrics.count(kind.counter());
        if (limits.containsKey(ServerRun.of(server))) {
            metrics.count("sends.to_limited");
        }
        return pool.call(request, new AnnouncementReader(server, kind, listener));
    }

    /** Finds out whether a server accepts connections; see {@link UpstreamPool#checkListening}. */
    void checkListening(ServerEntry server, Duration timeout, Consumer<UpstreamPool.Listening> result) {
        pool.checkListening(server.address(), timeout, result);
    }

    /** Closes the idle connections to an address. */
    public void evict(HostPort address) {
        pool.evict(address);
    }

    /** Returns the limit that a server announced last. */
    Optional<RateLimit> limitOf(ServerEntry server) {
        return Optional.ofNullable(limits.get(ServerRun.of(server)));
    }

    /** Forgets the limits of all servers but the given ones. */
    public void retain(Set<ServerRun> known) {
        limits.keySet().retainAll(known);
    }

    /** Passes the events of a call on and reads the announcements in the head of the answer. */
    private final class AnnouncementReader implements CallListener {

        private final ServerEntry server;
        private final CallKind kind;
        private final CallListener listener;

        AnnouncementReader(ServerEntry server, CallKind kind, CallListener listener) {
            this.server = server;
            this.kind = kind;
            this.listener = listener;
        }

        @Override
        public void connected() {
            listener.connected();
        }

        @Override
        public boolean head(HttpResponse response) {
            readLimit(response);
            return listener.head(response);
        }

        private void readLimit(HttpResponse response) {
            // A release does not name its server, and another one may have the address by now.
            if (kind == CallKind.RELEASE || dialect.readReply(response).misdirected()) {
                return;
            }
            Result<Optional<RateLimit>, String> announced = dialect.readAnnouncedLimit(response.headers());
            if (!announced.isOk()) {
                log.log(
                        LogEvent.SERVER_LIMIT_UNREADABLE,
                        Field.of("server", server.id()),
                        Field.of("detail", announced.error()));
                return;
            }
            ServerRun run = ServerRun.of(server);
            Optional<RateLimit> before = Optional.ofNullable(limits.get(run));
            if (!announced.value().equals(before)) {
                announced.value().ifPresentOrElse(limit -> limits.put(run, limit), () -> limits.remove(run));
                log.log(
                        LogEvent.SERVER_LIMIT_CHANGED,
                        Field.of("server", server.id()),
                        Field.of("limit", text(announced.value())),
                        Field.of("before", text(before)));
            }
        }

        private static String text(Optional<RateLimit> limit) {
            return limit.map(RateLimit::toString).orElse("none");
        }

        @Override
        public void data(ByteBuf data) {
            listener.data(data);
        }

        @Override
        public void completed() {
            listener.completed();
        }

        @Override
        public void failed(CallFailure failure) {
            listener.failed(failure);
        }
    }
}
