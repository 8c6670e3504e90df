package org.mangoridge.entry.config;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.distribution.AgentAction;
import org.mangoridge.config.distribution.AgentEvent;
import org.mangoridge.config.distribution.ConfigAgent;
import org.mangoridge.config.distribution.ConfigHistory;
import org.mangoridge.config.distribution.ConfigPeers;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.time.Clock;

/**
 * Runs a {@link ConfigAgent} and puts the configurations that it adopts into force.
 *
 * <p>The public methods may be called by any thread.
 */
public final class ConfigFollower implements AutoCloseable {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

    private final ConfigAgent agent;
    private final ConfigActionExecutor executor;
    private final Supplier<ConfigPeers.View> view;
    private final Clock clock;
    private final Consumer<ConfigInForce> listener;
    private final ConfigHistory history = ConfigHistory.create();
    private final ScheduledExecutorService agentThread = Executors.newSingleThreadScheduledExecutor(
            Thread.ofVirtual().name("config-follower").factory());
    private final ExecutorService callThreads = Executors.newVirtualThreadPerTaskExecutor();
    private volatile ConfigInForce inForce = ConfigInForce.none();
    private volatile String source = "";
    private volatile String problem = "";
    private boolean isPlatformUnavailable;

    private ConfigFollower(
            ConfigAgent agent,
            ConfigActionExecutor executor,
            Supplier<ConfigPeers.View> view,
            Clock clock,
            Consumer<ConfigInForce> listener) {
        this.agent = agent;
        this.executor = executor;
        this.view = view;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Starts following published configurations.
     *
     * @param agent the state machine to run; must not be used elsewhere afterwards
     * @param executor executes the agent's calls to the platform and peers
     * @param view returns the current view of peers; must not block
     * @param listener receives each adopted configuration before any request can use it
     */
    public static ConfigFollower start(
            ConfigAgent agent,
            ConfigActionExecutor executor,
            Supplier<ConfigPeers.View> view,
            Clock clock,
            Consumer<ConfigInForce> listener) {
        ConfigFollower follower = new ConfigFollower(agent, executor, view, clock, listener);
        follower.agentThread.scheduleWithFixedDelay(follower::tick, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return follower;
    }

    /** Returns the configuration in force. */
    public ConfigInForce inForce() {
        return inForce;
    }

    /** Returns the recent configurations, from which offers to peers are computed. */
    public ConfigHistory history() {
        return history;
    }

    /** Returns the published form of the configuration in force. */
    public PublishedConfig published() {
        return history.current();
    }

    /** Returns the source of the configuration in force, or the empty string before the first adoption. */
    public String source() {
        return source;
    }

    /** Returns what currently prevents the adoption of a newer configuration, or the empty string. */
    public String problem() {
        return problem;
    }

    @Override
    public void close() {
        agentThread.shutdownNow();
        callThreads.shutdownNow();
    }

    private void tick() {
        handle(new AgentEvent.Tick(view.get()));
    }

    private void post(AgentEvent event) {
        try {
            agentThread.execute(() -> handle(event));
        } catch (RejectedExecutionException e) {
            // the follower is closing and handles no more events
        }
    }

    /** Handles an event on {@code agentThread}. */
    private void handle(AgentEvent event) {
        try {
            logOutageChange(event);
            agent.handle(event, clock.elapsed()).forEach(this::execute);
            problem = agent.problem();
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "config follower"));
        }
    }

    private void execute(AgentAction action) {
        switch (action) {
            case AgentAction.Adopt adopt -> adopt(adopt);
            case AgentAction.Reject reject ->
                EventLog.write(
                        LogEvent.CONFIGURATION_REJECTED,
                        Field.of("generation", reject.generation()),
                        Field.of("detail", reject.detail()));
            default -> call(action);
        }
    }

    private void call(AgentAction action) {
        try {
            callThreads.execute(() -> post(executor.execute(action)));
        } catch (RejectedExecutionException e) {
            // the follower is closing and makes no more calls
        }
    }

    private void adopt(AgentAction.Adopt adopt) {
        PublishedConfig published = adopt.config().published();
        ConfigInForce next = new ConfigInForce(
                published.generation(), published.hash(), adopt.config().deployment());
        listener.accept(next);
        history.add(published);
        source = adopt.source();
        inForce = next;
        EventLog.write(
                LogEvent.CONFIGURATION_ADOPTED,
                Field.of("generation", published.generation()),
                Field.of("source", adopt.source()));
    }

    private void logOutageChange(AgentEvent event) {
        if (event instanceof AgentEvent.PlatformFailed failed && !isPlatformUnavailable) {
            isPlatformUnavailable = true;
            EventLog.write(LogEvent.PLATFORM_UNAVAILABLE, Field.of("detail", failed.detail()));
        }
        boolean isAnswer = event instanceof AgentEvent.HeadRead || event instanceof AgentEvent.WatchEnded;
        if (isAnswer && isPlatformUnavailable) {
            isPlatformUnavailable = false;
            EventLog.write(LogEvent.PLATFORM_BACK);
        }
    }
}
