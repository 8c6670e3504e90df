package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.dispatch.directory.ServerDirectory;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quarantine.RequestParts;
import org.mangoridge.dispatch.quarantine.RequestQuarantine;
import org.mangoridge.dispatch.request.RequestPart;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.log.GuardedTask;
import org.mangoridge.gateway.net.UpstreamPool;

/**
 * Keeps requests that crash servers away from them, and collects the evidence for it; used on the event loop.
 *
 * <p>A broken connection alone is no crash: the network may have reset it. Only a server that refuses connections
 * afterwards, or has another run by then, and did not announce that it leaves, has crashed.
 */
public final class CrashGuard {

    /** Time in which all connections of this instance to a server that crashed are seen to break. */
    private static final Duration GATHERING_TIME = Duration.ofMillis(20);

    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(300);
    /** Time within which a server that was started again before the check is listed as another run. */
    private static final Duration RELISTING_TIME = Duration.ofSeconds(5);

    private final RequestQuarantine quarantine = RequestQuarantine.create();
    private final EventLoop loop;
    private final Clock clock;
    private final ServerCalls calls;
    private final ServerDirectory directory;
    private final GatewayMetrics metrics;
    private final EventSink log;
    /** The runs of servers whose connections broke and which are being checked. */
    private final Map<ServerRun, BrokenOff> brokenOff = new HashMap<>();
    /** The runs that were not seen to have crashed when they were checked, until another run may be listed. */
    private final Map<ServerRun, BrokenOff> unconfirmed = new HashMap<>();

    /**
     * The requests whose connections to a run of a server broke.
     *
     * @param address where the run listened
     * @param at when the first one broke
     * @param requests the requests
     */
    private record BrokenOff(HostPort address, Duration at, List<RequestParts> requests) {}

    private Runnable onObservedCrash = () -> {};
    private Set<RequestPart> logged = Set.of();

    private CrashGuard(
            EventLoop loop,
            Clock clock,
            ServerCalls calls,
            ServerDirectory directory,
            GatewayMetrics metrics,
            EventSink log) {
        this.loop = loop;
        this.clock = clock;
        this.calls = calls;
        this.directory = directory;
        this.metrics = metrics;
        this.log = log;
    }

    /** Returns a guard without evidence. */
    public static CrashGuard create(
            EventLoop loop,
            Clock clock,
            ServerCalls calls,
            ServerDirectory directory,
            GatewayMetrics metrics,
            EventSink log) {
        return new CrashGuard(loop, clock, calls, directory, metrics, log);
    }

    /** Sets the task that runs when this instance has observed a crash, so that it is told to others at once. */
    public void onObservedCrash(Runnable task) {
        onObservedCrash = task;
    }

    /** Returns a part or fingerprint for which a request must not be sent to a server; empty if it may be sent. */
    Optional<RequestPart> find(RequestIdentity request) {
        return quarantine.find(known(request));
    }

    /** Tells whether a request was on a server when it crashed, so that it must not be repeated without its caller. */
    boolean implicates(RequestIdentity request) {
        return quarantine.hasSuspects()
                && quarantine.suspects(request.outline())
                && quarantine.implicates(request.fingerprint(), clock.elapsed());
    }

    /** Returns what of a request can matter; its body is hashed only if it has the outline of a suspect. */
    private RequestParts known(RequestIdentity request) {
        boolean suspect = quarantine.hasSuspects() && quarantine.suspects(request.outline());
        return suspect ? request.complete() : request.sharedParts();
    }

    /** Records that a server answered a request, or answers it for some time already. */
    void soundAnswer(RequestIdentity request) {
        RequestParts parts = known(request);
        if (!parts.parts().isEmpty()) {
            quarantine.recordSoundAnswer(parts, clock.elapsed());
            logChange();
        }
    }

    /** Records that the connection to a server broke while it was about to answer a request, or had just begun to. */
    void brokenOff(ServerEntry server, RequestIdentity request) {
        if (directory.find(server.id()).map(ServerEntry::leaving).orElse(false)) {
            return;
        }
        ServerRun run = ServerRun.of(server);
        BrokenOff known = brokenOff.get(run);
        if (known != null) {
            known.requests().add(request.complete());
            return;
        }
        brokenOff.put(
                run, new BrokenOff(server.address(), clock.elapsed(), new ArrayList<>(List.of(request.complete()))));
        loop.schedule(
                GuardedTask.of(log, "crash check", () -> check(server, run)),
                GATHERING_TIME.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Records that a server is listed: where another run broke off just before, that one has crashed. */
    public void listed(ServerEntry entry) {
        List<ServerRun> crashed = Stream.concat(brokenOff.entrySet().stream(), unconfirmed.entrySet().stream())
                .filter(each -> each.getValue().address().equals(entry.address())
                        && !each.getKey().equals(ServerRun.of(entry)))
                .map(Map.Entry::getKey)
                .distinct()
                .toList();
        crashed.forEach(run -> crashed(run, entry.service()));
    }

    private void check(ServerEntry server, ServerRun run) {
        calls.checkListening(server, CHECK_TIMEOUT, listening -> {
            if (listening == UpstreamPool.Listening.NO) {
                crashed(run, server.service());
                return;
            }
            BrokenOff checked = brokenOff.remove(run);
            if (checked != null) {
                unconfirmed.put(run, checked);
            }
        });
    }

    private void crashed(ServerRun run, ServiceId service) {
        BrokenOff earlier = unconfirmed.remove(run);
        BrokenOff known = brokenOff.getOrDefault(run, earlier);
        brokenOff.remove(run);
        if (known == null) {
            return;
        }
        quarantine.recordCrash(run, known.requests(), known.at());
        metrics.count("servers.crashed");
        log.log(
                LogEvent.SERVER_CRASHED,
                Field.of("server", run.server()),
                Field.of("service", service),
                Field.of(
                        "requests",
                        known.requests().stream().map(RequestParts::parts).toList()));
        logChange();
        onObservedCrash.run();
    }

    /** Adds the evidence of another instance; returns whether it held anything about crashes that was not known. */
    public boolean merge(CrashEvidence evidence) {
        boolean news = quarantine.merge(evidence, clock.elapsed());
        logChange();
        return news;
    }

    /** Returns the evidence to tell other instances. */
    public CrashEvidence evidence() {
        return quarantine.evidence(clock.elapsed());
    }

    /** Drops evidence that no longer counts; to be called now and then. */
    public void expire() {
        quarantine.expire(clock.elapsed());
        unconfirmed.values().removeIf(each -> clock.elapsed().minus(each.at()).compareTo(RELISTING_TIME) > 0);
        logChange();
    }

    private void logChange() {
        Set<RequestPart> parts = quarantine.quarantined();
        if (!parts.equals(logged)) {
            logged = parts;
            log.log(LogEvent.QUARANTINE_CHANGED, Field.of("parts", parts));
        }
    }
}
