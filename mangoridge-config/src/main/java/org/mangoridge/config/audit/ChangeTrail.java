package org.mangoridge.config.audit;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.mangoridge.config.audit.AuditStore.Pointer;
import org.mangoridge.core.Result;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;

/**
 * The audit trail of accepted configuration changes.
 *
 * <p>An entry is written before the configuration head, which contains the hash of the entry. The write of the head
 * thus accepts the change and adds its entry to the trail atomically. An entry that no head has referred to is not part
 * of the trail.
 */
public final class ChangeTrail {

    /** The minimum number of generations that pruning leaves in the trail. */
    public static final int MIN_RETAINED_GENERATIONS = 5_000;

    private static final int PRUNE_INTERVAL_GENERATIONS = 64;
    private static final int MAX_WRITE_ATTEMPTS = 3;

    private final AuditStore store;

    private ChangeTrail(AuditStore store) {
        this.store = store;
    }

    /** Returns the trail that is stored in {@code store}. */
    public static ChangeTrail create(ObjectStore store) {
        return new ChangeTrail(AuditStore.create(store));
    }

    /** Reads the entry of an apply, whether or not its change was accepted. */
    public Result<Optional<StoredObject>, StoreFailure> read(String applyId) {
        return store.read(AuditStore.CHANGES, applyId);
    }

    /** Writes the changed keys of an apply and returns the hashes of the stored lists. */
    public Result<List<String>, StoreFailure> writeKeyChanges(String applyId, List<KeyChange> changes) {
        return store.writeKeyChanges(applyId, changes);
    }

    /** Reads the changed keys of an entry. */
    public Result<List<KeyChange>, StoreFailure> readKeyChanges(ChainedEntry entry) {
        return store.readKeyChanges(entry);
    }

    /** Writes the entry of an apply, reading it back if the response is lost; returns whether it is stored. */
    public boolean prepare(ChainedEntry entry, Precondition condition) {
        for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
            if (store.write(AuditStore.CHANGES, entry.id(), entry, condition) instanceof WriteOutcome.Written) {
                return true;
            }
            Result<Optional<StoredObject>, StoreFailure> read = read(entry.id());
            if (read.isOk() && read.value().isPresent()) {
                Result<ChainedEntry, String> stored =
                        ChainedEntry.decode(read.value().get().value());
                if (stored.isOk() && stored.value().equals(entry)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Deletes the entries that exceed the retention, once every 64 generations.
     *
     * @param tip the id of the newest accepted apply
     * @param generation the generation of {@code tip}
     */
    public void prune(String tip, long generation) {
        long newestRemoved = generation - MIN_RETAINED_GENERATIONS;
        if (newestRemoved <= 0 || generation % PRUNE_INTERVAL_GENERATIONS != 0) {
            return;
        }
        Result<List<ChainedEntry>, StoreFailure> entries = store.readEntries(AuditStore.CHANGES);
        if (!entries.isOk()) {
            return;
        }
        AuditTrail.chain(entries.value(), tip).stream()
                .filter(entry -> entry.number() == newestRemoved)
                .findFirst()
                .ifPresent(entry -> store.movePointer(AuditStore.anchorKey(AuditStore.CHANGES), Pointer.of(entry)));
        entries.value().stream()
                .filter(entry -> entry.number() <= newestRemoved)
                .sorted(Comparator.comparingLong(ChainedEntry::number))
                .forEach(entry -> store.delete(AuditStore.CHANGES, entry.id(), entry));
    }
}
