package org.mangoridge.objects;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;

/**
 * The platform's store of objects.
 *
 * <p>Calls block for a bounded time and are made on traffic threads or timers, never on the control thread. A value
 * holds at most {@link #MAX_VALUE_BYTES}. Safe for use by several threads.
 */
public interface ObjectStore {

    /** The largest value that the platform holds. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Reads the object named {@code key}; empty if there is none. */
    Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key);

    /** Lists at most {@code limit} objects whose keys start with {@code prefix} and come after {@code after}. */
    Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit);

    /** Writes {@code value} if {@code condition} holds. */
    WriteOutcome write(ObjectKey key, byte[] value, Precondition condition);

    /** Deletes the object if it has {@code version}; the version in the outcome is the store's revision. */
    WriteOutcome delete(ObjectKey key, long version);

    /** Waits at most {@code wait} for changes after {@code revision} of objects whose keys start with {@code prefix}. */
    Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait);

    /** Returns the list of live and leaving instances, which lags. */
    Result<List<ListedInstance>, StoreFailure> instances();
}
