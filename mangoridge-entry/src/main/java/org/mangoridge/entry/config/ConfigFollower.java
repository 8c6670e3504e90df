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

/** Runs a {@link ConfigAgent} and brings what it adopts into force; any thread may ask for that. */
public final class ConfigFollower implements AutoCloseable {

    private static final Duration TICK = Duration.ofMillis(250);

    private final ConfigAgent agent;
    private final ConfigCalls calls;
    private final Supplier<ConfigPeers.View> view;
    private final Clock clock;
    private final Consumer<ConfigInForce> listener;
    private final ConfigHistory history = ConfigHistory.create();
    private final ScheduledExecutorService decisions = Executors.newSingleThreadScheduledExecutor(
            Thread.ofVirtual().name("config-follower").factory());
    private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
    private volatile ConfigInForce inForce = ConfigInForce.none();
    private volatile String source = "";
    private volatile String problem = "";
    private boolean isPlatformOut;

    private ConfigFollower(
            ConfigAgent agent,
            ConfigCalls calls,
            Supplier<ConfigPeers.View> view,
            Clock clock,
            Consumer<ConfigInForce> listener) {
        this.agent = agent;
        this.calls = calls;
        this.view = view;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Starts following.
     *
     * @param agent decides; used by no one else from now on
     * @param calls calls the platform and peers
     * @param view gives what is known of peers, without blocking
     * @param listener hears of each adoption before any request sees it
     */
    public static ConfigFollower start(
            ConfigAgent agent,
            ConfigCalls calls,
            Supplier<ConfigPeers.View> view,
            Clock clock,
            Consumer<ConfigInForce> listener) {
        ConfigFollower follower = new ConfigFollower(agent, calls, view, clock, listener);
        follower.decisions.scheduleWithFixedDelay(follower::tick, 0, TICK.toMillis(), TimeUnit.MILLISECONDS);
        return follower;
    }

    /** Returns the configuration adopted last. */
    public ConfigInForce inForce() {
        return inForce;
    }

    /** Returns the published form of the configuration adopted last, and what peers lack of it. */
    public ConfigHistory history() {
        return history;
    }

    /** Returns the published form of the configuration adopted last. */
    public PublishedConfig published() {
        return history.current();
    }

    /** Returns where the configuration in force came from, empty before the first. */
    public String source() {
        return source;
    }

    /** Returns what is wrong with a newer configuration or with following it, empty if nothing. */
    public String problem() {
        return problem;
    }

    @Override
    public void close() {
        decisions.shutdownNow();
        callers.shutdownNow();
    }

    private void tick() {
        decide(new AgentEvent.Tick(view.get()));
    }

    private void tell(AgentEvent event) {
        try {
            decisions.execute(() -> decide(event));
        } catch (RejectedExecutionException e) {
            // the follower is closing and decides nothing more
        }
    }

    /** Runs on the thread of decisions. */
    private void decide(AgentEvent event) {
        try {
            noteOutage(event);
            agent.handle(event, clock.elapsed()).forEach(this::carryOut);
            problem = agent.problem();
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "config follower"));
        }
    }

    private void carryOut(AgentAction action) {
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
            callers.execute(() -> tell(calls.make(action)));
        } catch (RejectedExecutionException e) {
            // the follower is closing and calls no one
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

    private void noteOutage(AgentEvent event) {
        if (event instanceof AgentEvent.PlatformFailed failed && !isPlatformOut) {
            isPlatformOut = true;
            EventLog.write(LogEvent.PLATFORM_UNAVAILABLE, Field.of("detail", failed.detail()));
        }
        boolean isAnswer = event instanceof AgentEvent.HeadRead || event instanceof AgentEvent.WatchEnded;
        if (isAnswer && isPlatformOut) {
            isPlatformOut = false;
            EventLog.write(LogEvent.PLATFORM_BACK);
        }
    }
}
