package org.mangoridge.config.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.objects.budget.Backoff;

/**
 * Decides how one instance follows the configuration.
 *
 * <p>A few instances of a zone watch the platform; the others ask these, or whoever is known to have a greater
 * generation. Only a greater generation is adopted, whatever its source. Does no input or output; used by one thread.
 */
public final class ConfigAgent {

    private static final String FROM_PLATFORM = "platform";
    private static final Duration AVOID_FAILED_PEER = Duration.ofSeconds(5);

    private final InstanceId self;
    private final AgentTiming timing;
    private final RandomGenerator random;
    private final Backoff platformBackoff;
    private final Backoff peerBackoff;
    private final Map<InstanceId, Duration> avoidUntil = new HashMap<>();
    private ConfigPeers.View view;
    private PublishedConfig known = PublishedConfig.initial();
    private boolean platformBusy;
    private boolean peerBusy;
    private int peerFailures;
    private Duration platformAt = Duration.ZERO;
    private Duration askAt = Duration.ZERO;
    private Optional<Long> watchAfter = Optional.empty();
    private String rejectedHash = "";
    private String platformProblem = "";
    private String configProblem = "";
    private long askedFor;
    private Optional<Duration> aloneUntil = Optional.empty();
    private Duration lastEventAt = Duration.ZERO;

    private ConfigAgent(InstanceId self, AgentTiming timing, RandomGenerator random) {
        this.self = self;
        this.timing = timing;
        this.random = random;
        this.platformBackoff = Backoff.create(timing.minRetryDelay(), timing.maxRetryDelay(), random);
        this.peerBackoff = Backoff.create(timing.minRetryDelay(), timing.peerPollInterval(), random);
        this.view = ConfigPeers.View.alone(self);
    }

    /** Returns an agent that has adopted nothing. */
    public static ConfigAgent create(InstanceId self, AgentTiming timing, RandomGenerator random) {
        return new ConfigAgent(self, timing, random);
    }

    /** Returns the configuration adopted last. */
    public PublishedConfig current() {
        return known;
    }

    /** Returns what is wrong with a newer configuration or with following it, empty if nothing. */
    public String problem() {
        return configProblem.isEmpty() ? platformProblem : configProblem;
    }

    /** Tells whether this instance watches the platform, as one of the few of its zone or for want of peers. */
    public boolean isWatcher() {
        boolean isNew =
                aloneUntil.filter(until -> lastEventAt.compareTo(until) < 0).isPresent();
        if (view.others().isEmpty() && isNew) {
            return false;
        }
        int rank = view.ranked().indexOf(self);
        return (rank >= 0 && rank < timing.watchersPerZone()) || peerFailures >= timing.peerFailuresBeforeWatch();
    }

    /** Returns what to do about {@code event} at {@code now}, a time that never goes back. */
    public List<AgentAction> handle(AgentEvent event, Duration now) {
        List<AgentAction> actions = new ArrayList<>();
        lastEventAt = now;
        aloneUntil = Optional.of(aloneUntil.orElse(now.plus(timing.startupGracePeriod())));
        switch (event) {
            case AgentEvent.Tick tick -> view = tick.view();
            case AgentEvent.HeadRead read -> headRead(read.head(), actions);
            case AgentEvent.WatchEnded ended -> watchEnded(ended, actions);
            case AgentEvent.Loaded loaded -> loaded(loaded, actions);
            case AgentEvent.PlatformFailed failed -> platformFailed(failed.detail(), now);
            case AgentEvent.Malformed malformed -> malformed(malformed, now, actions);
            case AgentEvent.RestoreEnded ended -> restoreEnded(ended.isSuccessful(), now);
            case AgentEvent.PeerAnswered answered -> peerAnswered(answered, now, actions);
            case AgentEvent.PeerFailed failed -> peerFailed(failed.peer(), now);
        }
        callPlatform(now, actions);
        askPeer(now, actions);
        return actions;
    }

    private void headRead(Head head, List<AgentAction> actions) {
        platformAnswered();
        watchAfter = Optional.of(head.version());
        if (head.manifest().generation() < known.manifest().generation()) {
            platformBusy = true;
            watchAfter = Optional.empty();
            actions.add(new AgentAction.Restore(known));
            return;
        }
        headSeen(head, actions);
    }

    private void watchEnded(AgentEvent.WatchEnded ended, List<AgentAction> actions) {
        platformAnswered();
        watchAfter = ended.isComplete() ? Optional.of(ended.revision()) : Optional.empty();
        ended.head().ifPresent(head -> headWatched(head, actions));
    }

    /** An older head is a late event or a restored platform; a read tells which. */
    private void headWatched(Head head, List<AgentAction> actions) {
        if (head.manifest().generation() < known.manifest().generation()) {
            watchAfter = Optional.empty();
        } else {
            headSeen(head, actions);
        }
    }

    private void headSeen(Head head, List<AgentAction> actions) {
        boolean isNewer = head.manifest().generation() > known.manifest().generation();
        if (isNewer && !head.hash().equals(rejectedHash)) {
            platformBusy = true;
            actions.add(new AgentAction.Load(head, known));
        }
    }

    private void loaded(AgentEvent.Loaded loaded, List<AgentAction> actions) {
        platformAnswered();
        adopt(loaded.config(), FROM_PLATFORM, actions);
    }

    private void platformAnswered() {
        platformBusy = false;
        platformBackoff.reset();
        platformProblem = "";
        platformAt = Duration.ZERO;
    }

    private void platformFailed(String detail, Duration now) {
        platformBusy = false;
        watchAfter = Optional.empty();
        platformAt = now.plus(platformBackoff.nextDelay());
        platformProblem = "platform: " + detail;
    }

    private void restoreEnded(boolean isSuccessful, Duration now) {
        if (isSuccessful) {
            platformAnswered();
        } else {
            platformFailed("the newest configuration could not be written back", now);
        }
    }

    private void malformed(AgentEvent.Malformed malformed, Duration now, List<AgentAction> actions) {
        if (malformed.isFromPeer()) {
            peerBusy = false;
            askAt = now.plus(peerBackoff.nextDelay());
        } else {
            platformBusy = false;
            rejectedHash = malformed.hash();
            platformAt = now.plus(platformBackoff.nextDelay());
        }
        configProblem = "generation " + malformed.generation() + " rejected: " + malformed.detail();
        actions.add(new AgentAction.Reject(malformed.generation(), malformed.detail()));
    }

    private void peerAnswered(AgentEvent.PeerAnswered answered, Duration now, List<AgentAction> actions) {
        peerBusy = false;
        peerFailures = 0;
        peerBackoff.reset();
        double jitter = 0.75 + random.nextDouble() / 2;
        askAt = now.plus(Duration.ofNanos((long) (timing.peerPollInterval().toNanos() * jitter)));
        answered.config().ifPresent(config -> adopt(config, answered.peer().value(), actions));
    }

    private void peerFailed(InstanceId peer, Duration now) {
        peerBusy = false;
        peerFailures++;
        avoidUntil.put(peer, now.plus(AVOID_FAILED_PEER));
        askAt = now.plus(peerBackoff.nextDelay());
    }

    private void adopt(CheckedConfig config, String source, List<AgentAction> actions) {
        if (config.generation().isAfter(known.generation())) {
            known = config.published();
            configProblem = "";
            actions.add(new AgentAction.Adopt(config, source));
        }
    }

    private void callPlatform(Duration now, List<AgentAction> actions) {
        if (platformBusy || !isWatcher() || now.compareTo(platformAt) < 0) {
            return;
        }
        platformBusy = true;
        actions.add(watchAfter.isPresent() ? new AgentAction.Watch(watchAfter.get()) : new AgentAction.ReadHead());
    }

    private void askPeer(Duration now, List<AgentAction> actions) {
        if (peerBusy || view.others().isEmpty()) {
            return;
        }
        avoidUntil.values().removeIf(until -> until.compareTo(now) <= 0);
        Optional<InstanceId> ahead = view.newest()
                .filter(newest -> newest.generation().isAfter(known.generation()))
                .map(ConfigPeers.PeerGeneration::instance)
                .filter(peer -> !avoidUntil.containsKey(peer));
        boolean isDue = now.compareTo(askAt) >= 0;
        boolean needsPeers =
                !isWatcher() || platformBackoff.isFailing() || known.manifest().generation() == 0;
        long wanted = view.newest().map(newest -> newest.generation().value()).orElse(0L);
        if (ahead.isPresent() && (isDue || wanted > askedFor)) {
            askedFor = wanted;
            ask(ahead.get(), actions);
        } else if (isDue && needsPeers) {
            choosePeer().ifPresent(peer -> ask(peer, actions));
        }
    }

    private void ask(InstanceId peer, List<AgentAction> actions) {
        peerBusy = true;
        actions.add(new AgentAction.AskPeer(peer, known));
    }

    /** Chooses a watcher of the own zone, or any other instance if none answers. */
    private Optional<InstanceId> choosePeer() {
        List<InstanceId> watchers = view.ranked().stream()
                .limit(timing.watchersPerZone())
                .filter(peer -> !peer.equals(self) && !avoidUntil.containsKey(peer))
                .toList();
        return watchers.isEmpty() || isWatcher() ? anyOf(view.others()) : anyOf(watchers);
    }

    private Optional<InstanceId> anyOf(List<InstanceId> peers) {
        List<InstanceId> usable =
                peers.stream().filter(peer -> !avoidUntil.containsKey(peer)).toList();
        return usable.isEmpty() ? Optional.empty() : Optional.of(usable.get(random.nextInt(usable.size())));
    }
}
