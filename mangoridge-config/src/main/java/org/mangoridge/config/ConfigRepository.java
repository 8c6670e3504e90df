package org.mangoridge.config;

import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.http.Json;
import org.mangoridge.platform.ObjectKey;
import org.mangoridge.platform.ObjectStore;
import org.mangoridge.platform.Precondition;
import org.mangoridge.platform.StoreFailure;
import org.mangoridge.platform.StoredObject;
import org.mangoridge.platform.WriteOutcome;

/** Keeps the configuration in force in the platform's store; calls block. */
public final class ConfigRepository {

    private static final ObjectKey HEAD = ObjectKey.of("config/head");

    private final ObjectStore store;

    private ConfigRepository(ObjectStore store) {
        this.store = store;
    }

    /** Returns a repository in {@code store}. */
    public static ConfigRepository create(ObjectStore store) {
        return new ConfigRepository(store);
    }

    /** Reads the configuration in force; empty if none was ever published. */
    public Result<Optional<PublishedConfig>, StoreFailure> read() {
        return store.read(HEAD).flatMap(ConfigRepository::decode);
    }

    /** Publishes {@code text} as the generation after the one in force. */
    public WriteOutcome publish(String text) {
        Result<Optional<StoredObject>, StoreFailure> current = store.read(HEAD);
        if (!current.isOk()) {
            return new WriteOutcome.NotWritten(current.error().detail());
        }
        Result<Optional<PublishedConfig>, StoreFailure> inForce = decode(current.value());
        if (!inForce.isOk()) {
            return new WriteOutcome.NotWritten(inForce.error().detail());
        }
        Generation next =
                inForce.value().map(config -> config.generation().next()).orElse(Generation.of(1));
        Precondition condition = current.value()
                .map(object -> Precondition.atVersion(object.version()))
                .orElse(Precondition.absent());
        return store.write(HEAD, Json.bytes(PublishedConfig.of(next, text)), condition);
    }

    private static Result<Optional<PublishedConfig>, StoreFailure> decode(Optional<StoredObject> object) {
        if (object.isEmpty()) {
            return Result.ok(Optional.empty());
        }
        return switch (Json.read(object.get().value(), PublishedConfig.class)) {
            case Result.Ok<PublishedConfig, String> ok -> Result.ok(Optional.of(ok.value()));
            case Result.Err<PublishedConfig, String> err -> Result.err(new StoreFailure(err.error()));
        };
    }
}
