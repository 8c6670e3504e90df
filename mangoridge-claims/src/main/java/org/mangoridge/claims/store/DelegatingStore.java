package org.mangoridge.claims.store;

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

/** Delegates to another store and notifies a subclass of each call. */
abstract class DelegatingStore implements ObjectStore {

    private final ObjectStore inner;

    DelegatingStore(ObjectStore inner) {
        this.inner = inner;
    }

    /** Called before each call. */
    abstract void onCall();

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        onCall();
        return inner.read(key);
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        onCall();
        return inner.list(prefix, after, limit);
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        onCall();
        return inner.write(key, value, condition);
    }

    @Override
    public WriteOutcome delete(ObjectKey key, long version) {
        onCall();
        return inner.delete(key, version);
    }

    @Override
    public Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait) {
        onCall();
        return inner.watch(prefix, revision, wait);
    }

    @Override
    public Result<List<ListedInstance>, StoreFailure> instances() {
        onCall();
        return inner.instances();
    }
}
