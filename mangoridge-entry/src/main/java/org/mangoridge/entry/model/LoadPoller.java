package org.mangoridge.entry.model;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.routing.RoutingEvent;
import org.mangoridge.routing.ServerLoad;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.ServerRole;

/** Asks every engine for its load at intervals and tells routing. */
public final class LoadPoller implements AutoCloseable {

    private static final Duration INTERVAL = Duration.ofMillis(250);

    private final EngineDirectory engines;
    private final RoutingDriver driver;
    private final Clock clock;
    private final Supplier<Deployment> deployment;
    private final ScheduledExecutorService timer;
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Server> asked = new HashSet<>();
    private final Map<Server, Long> lastCacheEvents = new ConcurrentHashMap<>();

    private LoadPoller(EngineDirectory engines, RoutingDriver driver, Clock clock, Supplier<Deployment> deployment) {
        this.engines = engines;
        this.driver = driver;
        this.clock = clock;
        this.deployment = deployment;
        this.timer = Executors.newSingleThreadScheduledExecutor(
                Thread.ofVirtual().name("load-poller").factory());
    }

    /** Starts asking the engines of the deployment in force. */
    public static LoadPoller start(
            EngineDirectory engines, RoutingDriver driver, Clock clock, Supplier<Deployment> deployment) {
        LoadPoller poller = new LoadPoller(engines, driver, clock, deployment);
        poller.timer.scheduleAtFixedRate(poller::askAll, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return poller;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        calls.shutdownNow();
    }

    private void askAll() {
        for (Server server : deployment.get().servers()) {
            if (server.role() != ServerRole.PLAIN && begin(server)) {
                calls.execute(() -> ask(server));
            }
        }
    }

    /** Keeps one call to a server at a time. */
    private boolean begin(Server server) {
        synchronized (asked) {
            return asked.add(server);
        }
    }

    private void ask(Server server) {
        try {
            Result<EngineMessages.LoadReport, EngineError> report =
                    engines.engineAt(server.address()).loadReport();
            if (report.isOk()) {
                driver.post(new RoutingEvent.LoadReported(server.id(), load(report.value())));
                askCacheEvents(server);
            } else {
                lastCacheEvents.remove(server);
                driver.post(new RoutingEvent.LoadReportMissed(server.id()));
                EventLog.write(
                        LogEvent.LOAD_REPORT_FAILED,
                        Field.of("server", server.id()),
                        Field.of("detail", report.error().detail()));
            }
        } finally {
            synchronized (asked) {
                asked.remove(server);
            }
        }
    }

    /** Asks for the events after the last one seen; what a gap hides is forgotten by routing in time. */
    private void askCacheEvents(Server server) {
        if (!server.role().prefills()) {
            return;
        }
        long after = lastCacheEvents.getOrDefault(server, 0L);
        Result<List<EngineMessages.CacheEvent>, EngineError> events =
                engines.engineAt(server.address()).cacheEvents(after);
        if (!events.isOk() || events.value().isEmpty()) {
            return;
        }
        List<RoutingEvent.CacheChange> changes = events.value().stream()
                .map(event -> new RoutingEvent.CacheChange(event.prefix(), event.stored()))
                .toList();
        lastCacheEvents.put(
                server, events.value().get(events.value().size() - 1).sequence());
        driver.post(new RoutingEvent.CacheChanged(server.id(), changes));
    }

    private ServerLoad load(EngineMessages.LoadReport report) {
        Set<AttemptId> attempts = new HashSet<>();
        report.attempts().forEach(attempt -> attempts.add(AttemptId.parse(attempt)));
        return new ServerLoad(
                report.slots(),
                report.slotsUsed(),
                report.pieces(),
                report.piecesUsed(),
                report.pieceTokens(),
                report.prefillQueueTokens(),
                report.prefillTokensPerSecond(),
                report.linkBytesPerSecond(),
                report.kvBytesPerToken(),
                report.model(),
                report.version(),
                clock.elapsed().minusMillis(report.ageMillis()),
                attempts);
    }
}
