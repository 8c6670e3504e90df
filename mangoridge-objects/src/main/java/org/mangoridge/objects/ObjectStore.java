package org.mangoridge.objects;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;

/**
 * The platform's store of objects.
 *
 * <p>Calls block for a bounded time; make them on request threads or timer threads, never on the control thread.
 * Implementations are thread-safe.
 */
public interface ObjectStore {

    /** The maximum size of a value, in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Reads the object with key {@code key}; empty if there is none. */
    Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key);

    /** Lists at most {@code limit} objects whose keys start with {@code prefix} and sort after {@code after}. */
    Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit);

    /** Writes {@code value}, of at most {@link #MAX_VALUE_BYTES}, if {@code condition} holds. */
    WriteOutcome write(ObjectKey key, byte[] value, Precondition condition);

    /** Deletes the object if it has {@code version}; the outcome has the store's revision of the deletion. */
    WriteOutcome delete(ObjectKey key, long version);

    /** Waits up to {@code wait} for changes after {@code revision} to objects whose keys start with {@code prefix}. */
    Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait);

    /** Returns the live and leaving instances; the list lags behind their actual state. */
    Result<List<ListedInstance>, StoreFailure> instances();
}
