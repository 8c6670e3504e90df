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
import org.mangoridge.standin.platform.LocalObjectStore;

/** A store that shows a fault at the next write that replaces the configuration's head. */
final class HeadWriteFaultStore implements ObjectStore {

    private final LocalObjectStore store;
    private boolean loseAnswer;
    private boolean delay;
    private boolean cutOff;

    HeadWriteFaultStore(LocalObjectStore store) {
        this.store = store;
    }

    void loseAnswerOfNext() {
        loseAnswer = true;
    }

    void delayNextAndThenCutOff() {
        delay = true;
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        if (cutOff) {
            return new WriteOutcome.Unknown("cut off");
        }
        boolean replacesHead =
                key.path().equals(ConfigRepository.HEAD_PATH) && condition instanceof Precondition.AtVersion;
        if (replacesHead && loseAnswer) {
            loseAnswer = false;
            store.faults().loseAnswers(1);
        }
        if (replacesHead && delay) {
            store.faults().delayWrites(1);
            cutOff = true;
        }
        return store.write(key, value, condition);
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        return cutOff ? Result.err(new StoreFailure("cut off")) : store.read(key);
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
