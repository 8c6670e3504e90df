package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.time.Clock;
import org.mangoridge.dispatch.directory.ServerDirectory;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quarantine.Prompt;
import org.mangoridge.dispatch.quarantine.PromptQuarantine;
import org.mangoridge.dispatch.request.PromptPart;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.net.UpstreamPool;

/**
 * Keeps prompts that crash servers away from them, and collects the evidence for it; used on the event loop.
 *
 * <p>A broken connection alone is no crash: the network may have reset it. Only a server that refuses connections
 * afterwards, and did not announce that it leaves, has crashed.
 */
public final class PromptGuard {

    /** Time in which all connections of this instance to a server that crashed are seen to break. */
    private static final Duration GATHERING_TIME = Duration.ofMillis(20);

    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(300);

    private final PromptQuarantine quarantine = PromptQuarantine.create();
    private final EventLoop loop;
    private final Clock clock;
    private final ServerCalls calls;
    private final ServerDirectory directory;
    private final GatewayMetrics metrics;
    private final EventSink log;
    /** The prompts whose connections to a server broke and for which it is being found out whether it crashed. */
    private final Map<ServerRun, List<Prompt>> brokenOff = new HashMap<>();

    private Runnable onObservedCrash = () -> {};
    private Set<PromptPart> logged = Set.of();

    private PromptGuard(
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
    public static PromptGuard create(
            EventLoop loop,
            Clock clock,
            ServerCalls calls,
            ServerDirectory directory,
            GatewayMetrics metrics,
            EventSink log) {
        return new PromptGuard(loop, clock, calls, directory, metrics, log);
    }

    /** Sets the task that runs when this instance has observed a crash, so that it is told to others at once. */
    public void onObservedCrash(Runnable task) {
        onObservedCrash = task;
    }

    /** Returns a part of a prompt for which it must not be sent to a server; empty if it may be sent. */
    Optional<PromptPart> find(Prompt prompt) {
        return quarantine.find(prompt);
    }

    /** Records that a server answered a prompt, or answers it for some time already. */
    void soundAnswer(Prompt prompt) {
        quarantine.recordSoundAnswer(prompt, clock.elapsed());
        logChange();
    }

    /** Records that the connection to a server broke while it was about to answer a prompt, or had just begun to. */
    void brokenOff(ServerEntry server, Prompt prompt) {
        if (prompt.parts().isEmpty()
                || directory.find(server.id()).map(ServerEntry::leaving).orElse(false)) {
            return;
        }
        ServerRun run = ServerRun.of(server);
        List<Prompt> prompts = brokenOff.get(run);
        if (prompts != null) {
            prompts.add(prompt);
            return;
        }
        brokenOff.put(run, new ArrayList<>(List.of(prompt)));
        loop.schedule(() -> check(server, run), GATHERING_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void check(ServerEntry server, ServerRun run) {
        calls.checkListening(server, CHECK_TIMEOUT, listening -> {
            List<Prompt> prompts = brokenOff.remove(run);
            if (listening != UpstreamPool.Listening.NO) {
                return;
            }
            quarantine.recordCrash(run, prompts, clock.elapsed());
            metrics.count("servers.crashed");
            log.log(
                    LogEvent.SERVER_CRASHED,
                    Field.of("server", server.id()),
                    Field.of("service", server.service()),
                    Field.of("prompts", prompts.stream().map(Prompt::parts).toList()));
            logChange();
            onObservedCrash.run();
        });
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
        logChange();
    }

    private void logChange() {
        Set<PromptPart> parts = quarantine.quarantined();
        if (!parts.equals(logged)) {
            logged = parts;
            log.log(LogEvent.QUARANTINE_CHANGED, Field.of("parts", parts));
        }
    }
}
