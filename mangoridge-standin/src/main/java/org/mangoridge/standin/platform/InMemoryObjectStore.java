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

/** The objects of a stand-in platform in this process, with the faults that a test asks for. */
public final class InMemoryObjectStore implements ObjectStore {

    private static final StoreFailure OUT = new StoreFailure("the platform is out");

    private final ObjectTable table = new ObjectTable();
    private final InstanceTable instances = new InstanceTable();
    private final PlatformFaults faults = new PlatformFaults();
    private final CallCounts counts = new CallCounts();
    private final List<Runnable> heldBack = new ArrayList<>();
    private ObjectTable.Copy copy = table.copy();

    private InMemoryObjectStore() {}

    /** Returns an empty store. */
    public static InMemoryObjectStore create() {
        return new InMemoryObjectStore();
    }

    /** Returns the faults, to be changed by tests. */
    public PlatformFaults faults() {
        return faults;
    }

    /** Returns the counts of calls. */
    public CallCounts counts() {
        return counts;
    }

    /** Returns the list of instances, to be changed by tests. */
    public InstanceTable instanceTable() {
        return instances;
    }

    /** Keeps a copy of all objects. */
    public synchronized void saveCopy() {
        copy = table.copy();
    }

    /** Goes back to the copy kept last, its revision included. */
    public synchronized void restoreCopy() {
        table.restore(copy);
    }

    /** Tries the writes that were held back, in their order. */
    public synchronized void releaseWrites() {
        heldBack.forEach(Runnable::run);
        heldBack.clear();
    }

    @Override
    public Result<Optional<StoredObject>, StoreFailure> read(ObjectKey key) {
        counts.add(CallCounts.Kind.READ);
        if (faults.isOut()) {
            return Result.err(OUT);
        }
        Optional<PlatformMessages.ObjectMessage> object =
                faults.takeStaleRead() ? table.readPrevious(key.path()) : table.read(key.path());
        return Result.ok(object.map(InMemoryObjectStore::stored));
    }

    @Override
    public Result<List<StoredObject>, StoreFailure> list(String prefix, String after, int limit) {
        counts.add(CallCounts.Kind.LIST);
        return faults.isOut()
                ? Result.err(OUT)
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
            if (faults.isOut()) {
                return Result.err(OUT);
            }
            PlatformMessages.Changes changes = table.watch(prefix, revision, wait);
            if (faults.isOut()) {
                return Result.err(OUT);
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
        return faults.isOut()
                ? Result.err(OUT)
                : Result.ok(instances.list().stream()
                        .map(InMemoryObjectStore::instance)
                        .toList());
    }

    private synchronized WriteOutcome change(Supplier<Optional<Long>> write) {
        if (faults.isOut()) {
            return new WriteOutcome.Unknown(OUT.detail());
        }
        if (faults.takeDelayedWrite()) {
            heldBack.add(write::get);
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
