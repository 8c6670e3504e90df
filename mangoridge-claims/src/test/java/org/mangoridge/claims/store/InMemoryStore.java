package org.mangoridge.claims.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.mangoridge.core.Result;
import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WatchBatch;
import org.mangoridge.objects.WriteOutcome;

/** An object store in memory, without faults. */
final class InMemoryStore implements ObjectStore {

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long revision;

    int size() {
        return objects.size();
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        return Result.ok(Optional.ofNullable(objects.get(key.path())));
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        return Result.ok(objects.tailMap(after, false).values().stream()
                .filter(object -> object.key().path().startsWith(prefix))
                .limit(limit)
                .toList());
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        long expected = condition instanceof Precondition.AtVersion at ? at.version() : 0;
        if (expected != version(key)) {
            return new WriteOutcome.Conflict();
        }
        objects.put(key.path(), new StoredObject(key, ++revision, value));
        return new WriteOutcome.Written(revision);
    }

    @Override
    public WriteOutcome delete(ObjectKey key, long version) {
        if (version != version(key)) {
            return new WriteOutcome.Conflict();
        }
        objects.remove(key.path());
        return new WriteOutcome.Written(++revision);
    }

    @Override
    public Result<WatchBatch, StoreFailure> watch(String prefix, long after, Duration wait) {
        throw new UnsupportedOperationException("claims are not watched");
    }

    @Override
    public Result<List<ListedInstance>, StoreFailure> instances() {
        return Result.ok(List.of());
    }

    private long version(ObjectKey key) {
        return Optional.ofNullable(objects.get(key.path()))
                .map(StoredObject::version)
                .orElse(0L);
    }
}
