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

/** Polls the load and the prefix cache events of every engine periodically and posts them to routing. */
public final class LoadPoller implements AutoCloseable {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final EngineDirectory engines;
    private final RoutingDriver driver;
    private final Clock clock;
    private final Supplier<Deployment> deployment;
    private final ScheduledExecutorService timer;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Server> polling = new HashSet<>();
    private final Map<Server, Long> lastCacheEventSequences = new ConcurrentHashMap<>();

    private LoadPoller(EngineDirectory engines, RoutingDriver driver, Clock clock, Supplier<Deployment> deployment) {
        this.engines = engines;
        this.driver = driver;
        this.clock = clock;
        this.deployment = deployment;
        this.timer = Executors.newSingleThreadScheduledExecutor(
                Thread.ofVirtual().name("load-poller").factory());
    }

    /** Returns a running poller of the engines in the current configuration. */
    public static LoadPoller start(
            EngineDirectory engines, RoutingDriver driver, Clock clock, Supplier<Deployment> deployment) {
        LoadPoller poller = new LoadPoller(engines, driver, clock, deployment);
        poller.timer.scheduleAtFixedRate(poller::pollAll, 0, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return poller;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        executor.shutdownNow();
    }

    private void pollAll() {
        for (Server server : deployment.get().servers()) {
            if (server.role() != ServerRole.PLAIN && beginPoll(server)) {
                executor.execute(() -> poll(server));
            }
        }
    }

    /** Marks a server as being polled; returns false if its previous poll is still running. */
    private boolean beginPoll(Server server) {
        synchronized (polling) {
            return polling.add(server);
        }
    }

    private void poll(Server server) {
        try {
            Result<EngineMessages.LoadReport, EngineError> report =
                    engines.engineAt(server.address()).loadReport();
            if (report.isOk()) {
                driver.post(new RoutingEvent.LoadReported(server.id(), serverLoad(report.value())));
                pollCacheEvents(server);
            } else {
                lastCacheEventSequences.remove(server);
                driver.post(new RoutingEvent.LoadReportMissed(server.id()));
                EventLog.write(
                        LogEvent.LOAD_REPORT_FAILED,
                        Field.of("server", server.id()),
                        Field.of("detail", report.error().detail()));
            }
        } finally {
            synchronized (polling) {
                polling.remove(server);
            }
        }
    }

    /**
     * Polls the cache events after the last one received.
     *
     * <p>Gaps in the sequence are ignored: routing expires the entries whose eviction it has missed.
     */
    private void pollCacheEvents(Server server) {
        if (!server.role().prefills()) {
            return;
        }
        long after = lastCacheEventSequences.getOrDefault(server, 0L);
        Result<List<EngineMessages.CacheEvent>, EngineError> events =
                engines.engineAt(server.address()).cacheEvents(after);
        if (!events.isOk() || events.value().isEmpty()) {
            return;
        }
        List<RoutingEvent.CacheChange> changes = events.value().stream()
                .map(event -> new RoutingEvent.CacheChange(event.prefix(), event.stored()))
                .toList();
        lastCacheEventSequences.put(
                server, events.value().get(events.value().size() - 1).sequence());
        driver.post(new RoutingEvent.CacheChanged(server.id(), changes));
    }

    private ServerLoad serverLoad(EngineMessages.LoadReport report) {
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
