package org.mangoridge.standin.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WatchBatch;
import org.mangoridge.objects.WatchChange;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.objects.http.PlatformMessages;

/** An in-memory object store with fault injection. */
public final class InMemoryObjectStore implements ObjectStore {

    private static final StoreFailure UNAVAILABLE = new StoreFailure("the platform is unavailable");

    private final ObjectTable table = new ObjectTable();
    private final InstanceTable instances = new InstanceTable();
    private final PlatformFaults faults = new PlatformFaults();
    private final CallCounts counts = new CallCounts();
    private final List<Runnable> delayedWrites = new ArrayList<>();
    private ObjectTable.Copy copy = table.copy();

    private InMemoryObjectStore() {}

    /** Returns an empty store. */
    public static InMemoryObjectStore create() {
        return new InMemoryObjectStore();
    }

    /** Returns the injected faults, which tests may change. */
    public PlatformFaults faults() {
        return faults;
    }

    /** Returns the counts of calls. */
    public CallCounts counts() {
        return counts;
    }

    /** Returns the list of instances, which tests may change. */
    public InstanceTable instanceTable() {
        return instances;
    }

    /** Saves a copy of all objects and the revision. */
    public synchronized void saveCopy() {
        copy = table.copy();
    }

    /** Restores the last saved copy, including its revision. */
    public synchronized void restoreCopy() {
        table.restore(copy);
    }

    /** Runs the delayed writes in order. */
    public synchronized void releaseWrites() {
        delayedWrites.forEach(Runnable::run);
        delayedWrites.clear();
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        counts.add(CallCounts.Kind.READ);
        if (faults.isUnavailable()) {
            return Result.err(UNAVAILABLE);
        }
        Optional<PlatformMessages.ObjectMessage> object =
                faults.takeStaleRead() ? table.readPrevious(key.path()) : table.read(key.path());
        return Result.ok(object.map(InMemoryObjectStore::stored));
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        counts.add(CallCounts.Kind.LIST);
        return faults.isUnavailable()
                ? Result.err(UNAVAILABLE)
                : Result.ok(table.list(prefix, after, limit).stream()
                        .map(InMemoryObjectStore::stored)
                        .toList());
    }

    @Override
    public WriteOutcome write(ObjectKey key, byte[] value, Precondition condition) {
        counts.add(CallCounts.Kind.WRITE);
        long expected = condition instanceof Precondition.AtVersion at ? at.version() : 0;
        return change(() -> table.write(key.path(), value, expected));
    }

    @Override
    public WriteOutcome delete(ObjectKey key, long version) {
        counts.add(CallCounts.Kind.DELETE);
        return change(() -> table.delete(key.path(), version));
    }

    @Override
    public Result<WatchBatch, StoreFailure> watch(String prefix, long revision, Duration wait) {
        counts.watchStarted();
        try {
            if (faults.isUnavailable()) {
                return Result.err(UNAVAILABLE);
            }
            PlatformMessages.Changes changes = table.watch(prefix, revision, wait);
            if (faults.isUnavailable()) {
                return Result.err(UNAVAILABLE);
            }
            if (faults.takeWatchGap()) {
                return Result.ok(new WatchBatch(changes.revision(), false, List.of()));
            }
            return Result.ok(new WatchBatch(
                    changes.revision(),
                    changes.complete(),
                    changes.changes().stream().map(InMemoryObjectStore::change).toList()));
        } finally {
            counts.watchEnded();
        }
    }

    @Override
    public Result<List<ListedInstance>, StoreFailure> instances() {
        counts.add(CallCounts.Kind.INSTANCES);
        return faults.isUnavailable()
                ? Result.err(UNAVAILABLE)
                : Result.ok(instances.list().stream()
                        .map(InMemoryObjectStore::instance)
                        .toList());
    }

    private synchronized WriteOutcome change(Supplier<Optional<Long>> write) {
        if (faults.isUnavailable()) {
            return new WriteOutcome.Unknown(UNAVAILABLE.detail());
        }
        if (faults.takeDelayedWrite()) {
            delayedWrites.add(write::get);
            return new WriteOutcome.Unknown("no answer");
        }
        Optional<Long> version = write.get();
        if (faults.takeLostAnswer()) {
            return new WriteOutcome.Unknown("the answer was lost");
        }
        return version.<WriteOutcome>map(WriteOutcome.Written::new).orElseGet(WriteOutcome.Conflict::new);
    }

    private static StoredObject stored(PlatformMessages.ObjectMessage message) {
        return new StoredObject(ObjectKey.of(message.key()), message.version(), message.value());
    }

    private static WatchChange change(PlatformMessages.ObjectMessage message) {
        return message.value() == null
                ? new WatchChange.Deleted(ObjectKey.of(message.key()), message.version())
                : new WatchChange.Put(stored(message));
    }

    private static ListedInstance instance(PlatformMessages.InstanceMessage message) {
        return new ListedInstance(
                InstanceId.of(message.id()),
                AvailabilityZone.of(message.zone()),
                HostPort.parse(message.peerAddress()),
                message.leaving());
    }
}
