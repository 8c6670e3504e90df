package org.mangoridge.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WatchBatch;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.standin.platform.InMemoryObjectStore;

/** An object store that injects a fault into the next write that replaces the configuration head. */
final class HeadWriteFaultStore implements ObjectStore {

    private final InMemoryObjectStore store;
    private boolean losesNextResponse;
    private boolean delaysNextWrite;
    private boolean isDisconnected;

    HeadWriteFaultStore(InMemoryObjectStore store) {
        this.store = store;
    }

    /** Lets the next head replacement take effect, but loses its response. */
    void loseNextResponse() {
        losesNextResponse = true;
    }

    /** Delays the next head replacement until the store releases it, and fails all later reads and writes. */
    void delayNextThenDisconnect() {
        delaysNextWrite = true;
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        if (isDisconnected) {
            return new WriteOutcome.Unknown("disconnected");
        }
        boolean isHeadReplacement =
                key.path().equals(ConfigRepository.HEAD_PATH) && condition instanceof Precondition.AtVersion;
        if (isHeadReplacement && losesNextResponse) {
            losesNextResponse = false;
            store.faults().loseAnswers(1);
        }
        if (isHeadReplacement && delaysNextWrite) {
            store.faults().delayWrites(1);
            isDisconnected = true;
        }
        return store.write(key, value, condition);
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        return isDisconnected ? Result.err(new StoreFailure("disconnected")) : store.read(key);
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        return store.list(prefix, after, limit);
    }

    @Override
    public WriteOutcome delete(ObjectKey key, long version) {
        return store.delete(key, version);
    }

    @Override
    public Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait) {
        return store.watch(prefix, revision, wait);
    }

    @Override
    public Result<List<ListedInstance>, StoreFailure> instances() {
        return store.instances();
    }
}
