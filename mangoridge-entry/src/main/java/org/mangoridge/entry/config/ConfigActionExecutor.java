package org.mangoridge.entry.config;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.config.ConfigRepository;
import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.config.audit.AuditKind;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.config.distribution.AgentAction;
import org.mangoridge.config.distribution.AgentEvent;
import org.mangoridge.config.distribution.AgentTiming;
import org.mangoridge.config.distribution.CheckedConfig;
import org.mangoridge.config.distribution.ConfigOffer;
import org.mangoridge.config.distribution.ConfigPeers;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WatchBatch;
import org.mangoridge.objects.WatchChange;

/**
 * Executes the actions of a {@link org.mangoridge.config.distribution.ConfigAgent} that call the platform or peers; the
 * outcome of each is one event.
 *
 * <p>Calls block and are meant for virtual threads.
 */
public final class ConfigActionExecutor {

    private static final Generation UNREADABLE_HEAD = Generation.of(0);

    private final ObjectStore store;
    private final ConfigRepository repository;
    private final ConfigPeers peers;
    private final AuditLog audit;
    private final InstanceId self;
    private final Clock clock;

    private ConfigActionExecutor(ObjectStore store, ConfigPeers peers, AuditLog audit, InstanceId self, Clock clock) {
        this.store = store;
        this.repository = ConfigRepository.create(store);
        this.peers = peers;
        this.audit = audit;
        this.self = self;
        this.clock = clock;
    }

    /** Returns an executor that calls the platform's {@code store} and {@code peers}, and audits write-backs. */
    public static ConfigActionExecutor create(
            ObjectStore store, ConfigPeers peers, AuditLog audit, InstanceId self, Clock clock) {
        return new ConfigActionExecutor(store, peers, audit, self, clock);
    }

    /** Executes {@code action} and returns its outcome; an unexpected exception is logged and returned as a failure. */
    AgentEvent execute(AgentAction action) {
        try {
            return switch (action) {
                case AgentAction.ReadHead read -> readHead();
                case AgentAction.Watch watch -> watch(watch.revision());
                case AgentAction.Load load -> load(load.head(), load.known());
                case AgentAction.Restore restore -> restore(restore.config());
                case AgentAction.AskPeer ask -> askPeer(ask.peer(), ask.known());
                default -> throw new IllegalArgumentException("the action is not a call: " + action);
            };
        } catch (RuntimeException e) {
            EventLog.write(LogEvent.INTERNAL_ERROR, e, Field.of("where", "config call"));
            return action instanceof AgentAction.AskPeer ask
                    ? new AgentEvent.PeerFailed(ask.peer())
                    : new AgentEvent.PlatformFailed("internal error");
        }
    }

    private AgentEvent readHead() {
        return switch (repository.readHeadObject()) {
            case Result.Err<Optional<StoredObject>, StoreFailure> err ->
                new AgentEvent.PlatformFailed(err.error().detail());
            case Result.Ok<Optional<StoredObject>, StoreFailure> ok -> {
                Result<Head, StoreFailure> head = ConfigRepository.decodeHead(ok.value());
                yield head.isOk()
                        ? new AgentEvent.HeadRead(head.value())
                        : malformedHead(head.error().detail());
            }
        };
    }

    private AgentEvent watch(long revision) {
        Duration wait = AgentTiming.standard().watchTimeout();
        Result<WatchBatch, StoreFailure> watched = store.watch(ConfigRepository.HEAD_PATH, revision, wait);
        if (!watched.isOk()) {
            return new AgentEvent.PlatformFailed(watched.error().detail());
        }
        Optional<StoredObject> newest = watched.value().changes().stream()
                .filter(WatchChange.Put.class::isInstance)
                .map(change -> ((WatchChange.Put) change).object())
                .reduce((earlier, later) -> later);
        Result<Head, StoreFailure> head = ConfigRepository.decodeHead(newest);
        if (!head.isOk()) {
            return malformedHead(head.error().detail());
        }
        return new AgentEvent.WatchEnded(
                watched.value().revision(), watched.value().complete(), newest.map(object -> head.value()));
    }

    private AgentEvent load(Head head, PublishedConfig known) {
        Result<Map<String, String>, StoreFailure> contents = repository.readContents(head, known);
        if (!contents.isOk()) {
            return new AgentEvent.PlatformFailed(contents.error().detail());
        }
        Result<CheckedConfig, String> checked = PublishedConfig.verify(head.manifest(), head.hash(), contents.value())
                .flatMap(CheckedConfig::check);
        return checked.isOk()
                ? new AgentEvent.Loaded(checked.value())
                : new AgentEvent.Malformed(
                        Generation.of(head.manifest().generation()), head.hash(), checked.error(), false);
    }

    private AgentEvent restore(PublishedConfig config) {
        boolean isDone = repository.restore(config);
        if (isDone) {
            audit.append(AuditEntry.of(
                    AuditKind.CONFIGURATION_RESTORED,
                    self.value(),
                    clock.now(),
                    "the platform held an older generation",
                    config.manifest().applyId(),
                    "generation " + config.generation() + " written back"));
        }
        return new AgentEvent.RestoreEnded(isDone);
    }

    private AgentEvent askPeer(InstanceId peer, PublishedConfig known) {
        Result<ConfigPeers.Answer, String> answer = peers.ask(peer, known.generation());
        if (!answer.isOk()) {
            return new AgentEvent.PeerFailed(peer);
        }
        Optional<ConfigOffer> offer = answer.value().offer();
        if (offer.isEmpty()) {
            return new AgentEvent.PeerAnswered(peer, Optional.empty());
        }
        Result<CheckedConfig, String> checked = offer.get().assemble(known).flatMap(CheckedConfig::check);
        return checked.isOk()
                ? new AgentEvent.PeerAnswered(peer, Optional.of(checked.value()))
                : new AgentEvent.Malformed(
                        answer.value().generation(), offer.get().hash(), checked.error() + " from " + peer, true);
    }

    private static AgentEvent malformedHead(String detail) {
        return new AgentEvent.Malformed(UNREADABLE_HEAD, "", detail, false);
    }
}
