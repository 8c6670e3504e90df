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
 * Decides how one instance obtains new configurations.
 *
 * <p>A few instances of each zone watch the platform. The others poll these watchers, or a peer that is known to have a
 * greater generation. Only a greater generation than the current one is adopted, whatever its source.
 *
 * <p>The agent is a state machine without I/O: it handles events and returns the actions to perform. Not thread-safe.
 */
public final class ConfigAgent {

    private static final String PLATFORM_SOURCE = "platform";
    private static final Duration FAILED_PEER_COOLDOWN = Duration.ofSeconds(5);

    private final InstanceId self;
    private final AgentTiming timing;
    private final RandomGenerator random;
    private final Backoff platformBackoff;
    private final Backoff peerBackoff;
    private final Map<InstanceId, Duration> peerCooldownUntil = new HashMap<>();
    private ConfigPeers.View view;
    private PublishedConfig current = PublishedConfig.initial();
    private boolean isPlatformCallPending;
    private boolean isPeerCallPending;
    private int consecutivePeerFailures;
    private Duration nextPlatformCallAt = Duration.ZERO;
    private Duration nextPeerCallAt = Duration.ZERO;
    private Optional<Long> watchRevision = Optional.empty();
    private String rejectedHash = "";
    private String platformProblem = "";
    private String configProblem = "";
    private long lastRequestedGeneration;
    private Optional<Duration> gracePeriodEndsAt = Optional.empty();
    private Duration lastEventAt = Duration.ZERO;

    private ConfigAgent(InstanceId self, AgentTiming timing, RandomGenerator random) {
        this.self = self;
        this.timing = timing;
        this.random = random;
        this.platformBackoff = Backoff.create(timing.minRetryDelay(), timing.maxRetryDelay(), random);
        this.peerBackoff = Backoff.create(timing.minRetryDelay(), timing.peerPollInterval(), random);
        this.view = ConfigPeers.View.alone(self);
    }

    /** Returns an agent that has not adopted a configuration yet. */
    public static ConfigAgent create(InstanceId self, AgentTiming timing, RandomGenerator random) {
        return new ConfigAgent(self, timing, random);
    }

    /** Returns the configuration that was adopted last, or that of generation 0. */
    public PublishedConfig current() {
        return current;
    }

    /** Returns why a newer configuration was rejected or the platform can't be reached; empty if neither applies. */
    public String problem() {
        return configProblem.isEmpty() ? platformProblem : configProblem;
    }

    /** Returns whether this instance watches the platform, by its rank in the zone or because its peers fail. */
    public boolean isWatcher() {
        boolean isInGracePeriod = gracePeriodEndsAt
                .filter(until -> lastEventAt.compareTo(until) < 0)
                .isPresent();
        if (view.others().isEmpty() && isInGracePeriod) {
            return false;
        }
        int rank = view.ranked().indexOf(self);
        return (rank >= 0 && rank < timing.watchersPerZone())
                || consecutivePeerFailures >= timing.peerFailuresBeforeWatch();
    }

    /** Handles {@code event} and returns the actions to perform; {@code now} must not decrease between calls. */
    public List<AgentAction> handle(AgentEvent event, Duration now) {
        List<AgentAction> actions = new ArrayList<>();
        lastEventAt = now;
        gracePeriodEndsAt = Optional.of(gracePeriodEndsAt.orElse(now.plus(timing.startupGracePeriod())));
        switch (event) {
            case AgentEvent.Tick tick -> view = tick.view();
            case AgentEvent.HeadRead read -> onHeadRead(read.head(), actions);
            case AgentEvent.WatchEnded ended -> onWatchEnded(ended, actions);
            case AgentEvent.Loaded loaded -> onLoaded(loaded, actions);
            case AgentEvent.PlatformFailed failed -> onPlatformFailed(failed.detail(), now);
            case AgentEvent.Malformed malformed -> onMalformed(malformed, now, actions);
            case AgentEvent.RestoreEnded ended -> onRestoreEnded(ended.isSuccessful(), now);
            case AgentEvent.PeerAnswered answered -> onPeerAnswered(answered, now, actions);
            case AgentEvent.PeerFailed failed -> onPeerFailed(failed.peer(), now);
        }
        addPlatformCall(now, actions);
        addPeerCall(now, actions);
        return actions;
    }

    private void onHeadRead(Head head, List<AgentAction> actions) {
        platformAnswered();
        watchRevision = Optional.of(head.version());
        if (head.manifest().generation() < current.manifest().generation()) {
            isPlatformCallPending = true;
            watchRevision = Optional.empty();
            actions.add(new AgentAction.Restore(current));
            return;
        }
        loadIfNewer(head, actions);
    }

    private void onWatchEnded(AgentEvent.WatchEnded ended, List<AgentAction> actions) {
        platformAnswered();
        watchRevision = ended.isComplete() ? Optional.of(ended.revision()) : Optional.empty();
        ended.head().ifPresent(head -> onHeadWatched(head, actions));
    }

    /** Handles the head of a watch. An older one is a delayed event or a restored platform; a read tells them apart. */
    private void onHeadWatched(Head head, List<AgentAction> actions) {
        if (head.manifest().generation() < current.manifest().generation()) {
            watchRevision = Optional.empty();
        } else {
            loadIfNewer(head, actions);
        }
    }

    private void loadIfNewer(Head head, List<AgentAction> actions) {
        boolean isNewer = head.manifest().generation() > current.manifest().generation();
        if (isNewer && !head.hash().equals(rejectedHash)) {
            isPlatformCallPending = true;
            actions.add(new AgentAction.Load(head, current));
        }
    }

    private void onLoaded(AgentEvent.Loaded loaded, List<AgentAction> actions) {
        platformAnswered();
        adopt(loaded.config(), PLATFORM_SOURCE, actions);
    }

    private void platformAnswered() {
        isPlatformCallPending = false;
        platformBackoff.reset();
        platformProblem = "";
        nextPlatformCallAt = Duration.ZERO;
    }

    private void onPlatformFailed(String detail, Duration now) {
        isPlatformCallPending = false;
        watchRevision = Optional.empty();
        nextPlatformCallAt = now.plus(platformBackoff.nextDelay());
        platformProblem = "platform: " + detail;
    }

    private void onRestoreEnded(boolean isSuccessful, Duration now) {
        if (isSuccessful) {
            platformAnswered();
        } else {
            onPlatformFailed("the newest configuration could not be written back", now);
        }
    }

    private void onMalformed(AgentEvent.Malformed malformed, Duration now, List<AgentAction> actions) {
        if (malformed.isFromPeer()) {
            isPeerCallPending = false;
            nextPeerCallAt = now.plus(peerBackoff.nextDelay());
        } else {
            isPlatformCallPending = false;
            rejectedHash = malformed.hash();
            nextPlatformCallAt = now.plus(platformBackoff.nextDelay());
        }
        configProblem = "generation " + malformed.generation() + " rejected: " + malformed.detail();
        actions.add(new AgentAction.Reject(malformed.generation(), malformed.detail()));
    }

    private void onPeerAnswered(AgentEvent.PeerAnswered answered, Duration now, List<AgentAction> actions) {
        isPeerCallPending = false;
        consecutivePeerFailures = 0;
        peerBackoff.reset();
        double jitter = 0.75 + random.nextDouble() / 2;
        nextPeerCallAt =
                now.plus(Duration.ofNanos((long) (timing.peerPollInterval().toNanos() * jitter)));
        answered.config().ifPresent(config -> adopt(config, answered.peer().value(), actions));
    }

    private void onPeerFailed(InstanceId peer, Duration now) {
        isPeerCallPending = false;
        consecutivePeerFailures++;
        peerCooldownUntil.put(peer, now.plus(FAILED_PEER_COOLDOWN));
        nextPeerCallAt = now.plus(peerBackoff.nextDelay());
    }

    private void adopt(CheckedConfig config, String source, List<AgentAction> actions) {
        if (config.generation().isAfter(current.generation())) {
            current = config.published();
            configProblem = "";
            actions.add(new AgentAction.Adopt(config, source));
        }
    }

    private void addPlatformCall(Duration now, List<AgentAction> actions) {
        if (isPlatformCallPending || !isWatcher() || now.compareTo(nextPlatformCallAt) < 0) {
            return;
        }
        isPlatformCallPending = true;
        actions.add(
                watchRevision.isPresent() ? new AgentAction.Watch(watchRevision.get()) : new AgentAction.ReadHead());
    }

    private void addPeerCall(Duration now, List<AgentAction> actions) {
        if (isPeerCallPending || view.others().isEmpty()) {
            return;
        }
        peerCooldownUntil.values().removeIf(until -> until.compareTo(now) <= 0);
        Optional<InstanceId> ahead = view.newest()
                .filter(newest -> newest.generation().isAfter(current.generation()))
                .map(ConfigPeers.PeerGeneration::instance)
                .filter(peer -> !peerCooldownUntil.containsKey(peer));
        boolean isDue = now.compareTo(nextPeerCallAt) >= 0;
        boolean needsPeers = !isWatcher()
                || platformBackoff.isFailing()
                || current.manifest().generation() == 0;
        long newestGeneration =
                view.newest().map(newest -> newest.generation().value()).orElse(0L);
        if (ahead.isPresent() && (isDue || newestGeneration > lastRequestedGeneration)) {
            lastRequestedGeneration = newestGeneration;
            requestConfig(ahead.get(), actions);
        } else if (isDue && needsPeers) {
            choosePollTarget().ifPresent(peer -> requestConfig(peer, actions));
        }
    }

    private void requestConfig(InstanceId peer, List<AgentAction> actions) {
        isPeerCallPending = true;
        actions.add(new AgentAction.AskPeer(peer, current));
    }

    /** Chooses a watcher of the own zone, or any other instance if this one is a watcher or all watchers fail. */
    private Optional<InstanceId> choosePollTarget() {
        List<InstanceId> watchers = view.ranked().stream()
                .limit(timing.watchersPerZone())
                .filter(peer -> !peer.equals(self) && !peerCooldownUntil.containsKey(peer))
                .toList();
        return watchers.isEmpty() || isWatcher() ? randomAvailable(view.others()) : randomAvailable(watchers);
    }

    private Optional<InstanceId> randomAvailable(List<InstanceId> peers) {
        List<InstanceId> available = peers.stream()
                .filter(peer -> !peerCooldownUntil.containsKey(peer))
                .toList();
        return available.isEmpty() ? Optional.empty() : Optional.of(available.get(random.nextInt(available.size())));
    }
}
