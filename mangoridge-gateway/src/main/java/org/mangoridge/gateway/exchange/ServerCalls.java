package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.dispatch.directory.LeavingRun;
import org.mangoridge.dispatch.directory.ServerDirectory;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.limit.LimitStatus;
import org.mangoridge.dispatch.limit.RateLimit;
import org.mangoridge.dispatch.limit.ServerRateLimiter;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.net.CallFailure;
import org.mangoridge.gateway.net.CallListener;
import org.mangoridge.gateway.net.UpstreamCall;
import org.mangoridge.gateway.net.UpstreamPool;
import org.mangoridge.gateway.net.UpstreamRequest;

/**
 * The one way to call a server: counts every call towards the server's limit and reads what the answers announce; used on
 * the event loop.
 *
 * <p>Calls to the platform's store do not go through here.
 */
public final class ServerCalls {

    private final UpstreamPool pool;
    private final Clock clock;
    private final WireDialect dialect;
    private final ServerRateLimiter limiter;
    private final ServerDirectory directory;
    private final GatewayMetrics metrics;
    private final EventSink log;
    private Runnable onAnnouncement = () -> {};
    private BiConsumer<ServerEntry, Duration> onPause = (server, pause) -> {};

    private ServerCalls(
            UpstreamPool pool,
            Clock clock,
            WireDialect dialect,
            ServerRateLimiter limiter,
            ServerDirectory directory,
            GatewayMetrics metrics,
            EventSink log) {
        this.pool = pool;
        this.clock = clock;
        this.dialect = dialect;
        this.limiter = limiter;
        this.directory = directory;
        this.metrics = metrics;
        this.log = log;
    }

    /** Returns an object that makes calls over the connections of a pool. */
    public static ServerCalls create(
            UpstreamPool pool,
            Clock clock,
            WireDialect dialect,
            ServerRateLimiter limiter,
            ServerDirectory directory,
            GatewayMetrics metrics,
            EventSink log) {
        return new ServerCalls(pool, clock, dialect, limiter, directory, metrics, log);
    }

    /** Sets the task that runs when an answer has changed what peers are told of servers. */
    public void onAnnouncement(Runnable task) {
        onAnnouncement = task;
    }

    /** Sets the task that is given each server that asks for a pause, and how long that is. */
    public void onPause(BiConsumer<ServerEntry, Duration> task) {
        onPause = task;
    }

    /** Returns the permit for a call to a server that a balancer chose, which asks the limiter before. */
    SendPermit acquire(ServerEntry server, CallKind kind) {
        limiter.take(server, clock.elapsed());
        return new SendPermit(server, kind);
    }

    /** Returns the permit for a call to a server; empty if its limit does not allow one now, or it is paused. */
    public Optional<SendPermit> tryAcquire(ServerEntry server, CallKind kind) {
        if (!limiter.permits(server, clock.elapsed())) {
            metrics.count("sends.withheld");
            return Optional.empty();
        }
        return Optional.of(acquire(server, kind));
    }

    /** Tells whether a server has asked for a pause, so that a permit from before must not be used. */
    boolean isPaused(ServerEntry server) {
        return limiter.isPaused(server, clock.elapsed());
    }

    /** Gives back a permit without which no call was made. */
    void giveBack(SendPermit permit) {
        limiter.giveBack(permit.server());
    }

    /** Makes the call of a permit; {@code listener} receives the events of the call unless it is cancelled. */
    public UpstreamCall call(SendPermit permit, UpstreamRequest request, CallListener listener) {
        metrics.count(permit.kind().counter());
        if (limiter.knowsLimits()
                && limiter.limit(ServerRun.of(permit.server())).isPresent()) {
            metrics.count("sends.to_limited");
        }
        return pool.call(request, new AnnouncementReader(permit, listener));
    }

    private void leavingAnnounced(ServerRun run) {
        if (directory.announceLeaving(run, Duration.ZERO, clock.elapsed())) {
            logLeaving(run, "server");
            onAnnouncement.run();
        }
    }

    private void logLeaving(ServerRun run, String toldBy) {
        metrics.count("servers.leaving_announced");
        directory.find(run.server()).ifPresent(server -> pool.evict(server.address()));
        log.log(LogEvent.SERVER_LEAVING, Field.of("server", run.server()), Field.of("told_by", toldBy));
    }

    /** Adds what a peer told of limits; returns whether that changes what is known. */
    public boolean mergeLimits(List<LimitStatus> told) {
        Set<ServerRun> changed = limiter.merge(told, clock.elapsed());
        changed.forEach(run -> logLimit(run, "peer"));
        return !changed.isEmpty();
    }

    /** Adds what a peer told of servers that leave; returns whether any of it is new. */
    public boolean mergeLeavingRuns(List<LeavingRun> told) {
        List<ServerRun> added = told.stream()
                .filter(leaving -> directory.announceLeaving(leaving.run(), leaving.age(), clock.elapsed()))
                .map(LeavingRun::run)
                .toList();
        added.forEach(run -> logLeaving(run, "peer"));
        return !added.isEmpty();
    }

    private void logLimit(ServerRun run, String toldBy) {
        log.log(
                LogEvent.SERVER_LIMIT_CHANGED,
                Field.of("server", run.server()),
                Field.of("limit", limiter.limit(run).map(RateLimit::toString).orElse("none")),
                Field.of("told_by", toldBy));
    }

    /** Returns fields that tell how the limits and pauses of servers bear on the choice of one; none if they don't. */
    List<Field> limitFields(List<ServerEntry> chosen, List<ServerEntry> servers) {
        Duration now = clock.elapsed();
        List<Field> fields = new ArrayList<>();
        long paused =
                servers.stream().filter(server -> limiter.isPaused(server, now)).count();
        if (paused > 0) {
            fields.add(Field.of("paused", paused));
        }
        if (!limiter.knowsLimits()) {
            return fields;
        }
        long withheld =
                servers.stream().filter(server -> !limiter.permits(server, now)).count();
        if (withheld > paused) {
            fields.add(Field.of("at_limit", withheld - paused));
        }
        chosen.stream()
                .filter(server -> limiter.share(server, now).isPresent())
                .findFirst()
                .ifPresent(server -> addShare(fields, server, now));
        return fields;
    }

    private void addShare(List<Field> fields, ServerEntry server, Duration now) {
        ServerRateLimiter.Share share = limiter.share(server, now).orElseThrow();
        fields.add(Field.of("limited", server.id()));
        fields.add(Field.of("limit", share.limit()));
        fields.add(Field.of("limit_share", share.requestsPerSecond()));
        fields.add(Field.of("limit_age_ms", share.silence()));
    }

    /** Finds out whether a server accepts connections; see {@link UpstreamPool#checkListening}. */
    void checkListening(ServerEntry server, Duration timeout, Consumer<UpstreamPool.Listening> result) {
        pool.checkListening(server.address(), timeout, result);
    }

    /** Closes the idle connections to an address. */
    public void evict(HostPort address) {
        pool.evict(address);
    }

    /** Passes the events of a call on and reads the announcements in the head of the answer. */
    private final class AnnouncementReader implements CallListener {

        private final SendPermit permit;
        private final CallListener listener;
        private final Duration sentAt;

        AnnouncementReader(SendPermit permit, CallListener listener) {
            this.permit = permit;
            this.listener = listener;
            this.sentAt = clock.elapsed();
        }

        @Override
        public void connected() {
            run(listener::connected);
        }

        @Override
        public void foreignAnswerDropped() {
            run(listener::foreignAnswerDropped);
        }

        @Override
        public void head(HttpResponse response) {
            run(() -> {
                readLimit(response);
                readPause(response);
                readLeaving(response);
                listener.head(response);
            });
        }

        /** Tells the listener of an exception, which the event loop would take for a failure of the connection. */
        private void run(Runnable step) {
            try {
                step.run();
            } catch (RuntimeException e) {
                listener.broken(e);
            }
        }

        private void readLeaving(HttpResponse response) {
            if (dialect.announcesLeaving(response.headers())) {
                ServerRun asked = ServerRun.of(permit.server());
                Optional<ServerId> answeredBy = dialect.readReply(response).answeredBy();
                if (answeredBy.isEmpty() || answeredBy.get().equals(asked.server())) {
                    leavingAnnounced(asked);
                } else {
                    directory.find(answeredBy.get()).map(ServerRun::of).ifPresent(ServerCalls.this::leavingAnnounced);
                }
            }
        }

        private void readPause(HttpResponse response) {
            Result<Optional<Duration>, String> requested = dialect.readRequestedPause(response);
            if (!requested.isOk()) {
                logInvalidPause(requested.error());
                return;
            }
            requested.value().ifPresent(pause -> {
                if (limiter.recordPause(permit.server(), pause, clock.elapsed())) {
                    metrics.count("pauses.asked");
                    onPause.accept(permit.server(), pause);
                    log.log(
                            LogEvent.SERVER_PAUSED,
                            Field.of("server", permit.server().id()),
                            Field.of("for_ms", pause));
                    if (pause.compareTo(ServerRateLimiter.maxPause()) > 0) {
                        logInvalidPause("the pause is longer than " + ServerRateLimiter.maxPause());
                    }
                }
            });
        }

        private void logInvalidPause(String detail) {
            metrics.count("pauses.invalid");
            log.log(
                    LogEvent.SERVER_PAUSE_INVALID,
                    Field.of("server", permit.server().id()),
                    Field.of("detail", detail));
        }

        private void readLimit(HttpResponse response) {
            ServerEntry server = permit.server();
            // A release does not name its server, and another one may have the address by now.
            if (permit.kind() == CallKind.RELEASE || response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
                return;
            }
            Result<Optional<RateLimit>, String> announced = dialect.readAnnouncedLimit(response.headers());
            if (!announced.isOk()) {
                log.log(
                        LogEvent.SERVER_LIMIT_UNREADABLE,
                        Field.of("server", server.id()),
                        Field.of("detail", announced.error()));
            } else if (limiter.recordAnswer(server, announced.value(), sentAt, clock.elapsed())) {
                logLimit(ServerRun.of(server), "server");
                onAnnouncement.run();
            }
        }

        @Override
        public void data(ByteBuf data) {
            run(() -> listener.data(data));
        }

        @Override
        public void completed() {
            run(listener::completed);
        }

        @Override
        public void failed(CallFailure failure) {
            run(() -> listener.failed(failure));
        }
    }
}
