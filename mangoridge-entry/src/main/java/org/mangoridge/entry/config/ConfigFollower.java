package org.mangoridge.entry.config;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.mangoridge.config.ConfigRepository;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.platform.StoreFailure;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.ini.Problem;

/** Reads the published configuration and adopts each greater generation; any thread may ask for it. */
public final class ConfigFollower implements AutoCloseable {

    private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

    private final ConfigRepository repository;
    private final Consumer<ConfigInForce> listener;
    private final ScheduledExecutorService timer;
    private volatile PublishedConfig published = PublishedConfig.initial();
    private volatile ConfigInForce inForce = ConfigInForce.none();

    private ConfigFollower(ConfigRepository repository, Consumer<ConfigInForce> listener) {
        this.repository = repository;
        this.listener = listener;
        this.timer = Executors.newSingleThreadScheduledExecutor(
                Thread.ofVirtual().name("config-follower").factory());
    }

    /** Starts reading; {@code listener} hears of each adoption. */
    public static ConfigFollower start(ConfigRepository repository, Consumer<ConfigInForce> listener) {
        ConfigFollower follower = new ConfigFollower(repository, listener);
        follower.timer.scheduleWithFixedDelay(follower::readSafely, 0, READ_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return follower;
    }

    /** Returns the configuration adopted last. */
    public ConfigInForce inForce() {
        return inForce;
    }

    /** Returns the published form of the configuration adopted last. */
    public PublishedConfig published() {
        return published;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void readSafely() {
        try {
            read();
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "config follower"));
        }
    }

    private void read() {
        Result<ConfigRepository.Head, StoreFailure> head = repository.readHead();
        if (head.isOk()
                && head.value().manifest().generation() <= published.manifest().generation()) {
            return;
        }
        Result<PublishedConfig, StoreFailure> read = head.flatMap(newer -> repository.load(newer, published));
        if (!read.isOk()) {
            EventLog.write(
                    LogEvent.PLATFORM_UNAVAILABLE,
                    Field.of("detail", read.error().detail()));
            return;
        }
        adopt(read.value());
    }

    private void adopt(PublishedConfig config) {
        Result<Deployment, List<Problem>> parsed = DeploymentParser.parseText("published", config.text());
        if (!parsed.isOk()) {
            EventLog.write(LogEvent.CONFIGURATION_REJECTED, Field.of("generation", config.generation()));
            return;
        }
        published = config;
        inForce = new ConfigInForce(config.generation(), config.hash(), parsed.value());
        listener.accept(inForce);
        EventLog.write(LogEvent.CONFIGURATION_ADOPTED, Field.of("generation", config.generation()));
    }
}
