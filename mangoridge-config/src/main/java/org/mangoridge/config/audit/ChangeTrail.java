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
 * The trail of accepted changes.
 *
 * <p>An entry is written before the head of the configuration, which names the entry's hash; so a change is accepted in
 * the same write that makes its entry part of the trail. An entry that no head came to name is not part of it.
 */
public final class ChangeTrail {

    /** How many generations the trail keeps at least. */
    public static final int MIN_RETAINED_GENERATIONS = 5_000;

    private static final int PRUNE_EVERY = 64;
    private static final int WRITE_TRIES = 3;

    private final AuditStore store;

    private ChangeTrail(AuditStore store) {
        this.store = store;
    }

    /** Returns the trail in {@code store}. */
    public static ChangeTrail create(ObjectStore store) {
        return new ChangeTrail(AuditStore.create(store));
    }

    /** Reads the entry that an apply prepared. */
    public Result<Optional<StoredObject>, StoreFailure> read(String applyId) {
        return store.read(AuditStore.CHANGES, applyId);
    }

    /** Writes the changed keys of an apply and returns the hashes of the lists. */
    public Result<List<String>, StoreFailure> writeKeyChanges(String applyId, List<KeyChange> changes) {
        return store.writeKeyChanges(applyId, changes);
    }

    /** Reads the changed keys that an entry names. */
    public Result<List<KeyChange>, StoreFailure> readKeyChanges(ChainedEntry entry) {
        return store.readKeyChanges(entry);
    }

    /** Writes the entry of an apply and settles a lost answer by reading it back; tells whether it is kept. */
    public boolean prepare(ChainedEntry entry, Precondition condition) {
        for (int i = 0; i < WRITE_TRIES; i++) {
            if (store.write(AuditStore.CHANGES, entry.id(), entry, condition) instanceof WriteOutcome.Written) {
                return true;
            }
            Result<Optional<StoredObject>, StoreFailure> read = read(entry.id());
            if (read.isOk() && read.value().isPresent()) {
                Result<ChainedEntry, String> there =
                        ChainedEntry.decode(read.value().get().value());
                if (there.isOk() && there.value().equals(entry)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Removes what is older than the retention, now and then, after {@code tip} was accepted. */
    public void prune(String tip, long generation) {
        long newestRemoved = generation - MIN_RETAINED_GENERATIONS;
        if (newestRemoved <= 0 || generation % PRUNE_EVERY != 0) {
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
