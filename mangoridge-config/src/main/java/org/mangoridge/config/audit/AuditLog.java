package org.mangoridge.config.audit;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.mangoridge.config.audit.AuditStore.Pointer;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;

/**
 * Appends entries to one audit trail, a hash chain in which each entry contains the hash of the previous one.
 *
 * <p>Calls block and are made on traffic threads or timers. Several instances may append to the same trail: the key of
 * an entry is its number, and it is created only if the key is absent. Thread-safe.
 */
public final class AuditLog {

    /** The trail of refused applies. */
    public static final String REFUSALS = "refusals";

    /** The minimum number of entries that pruning leaves in a trail. */
    public static final int MIN_RETAINED_ENTRIES = 5_000;

    private static final int PRUNE_INTERVAL_ENTRIES = 100;
    private static final int MAX_APPEND_ATTEMPTS = 12;
    private static final int ID_BYTES = 8;
    private static final String NUMBER_FORMAT = "%019d";

    private final AuditStore store;
    private final String trail;
    private final RandomGenerator random;
    private Pointer last = Pointer.start();

    private AuditLog(AuditStore store, String trail, RandomGenerator random) {
        this.store = store;
        this.trail = trail;
        this.random = random;
    }

    /**
     * Returns the log of {@code trail}.
     *
     * @param trail the name of the trail; characters that are not allowed in a key are replaced by hyphens
     * @param random the source of entry ids
     */
    public static AuditLog create(ObjectStore store, String trail, RandomGenerator random) {
        return new AuditLog(AuditStore.create(store), trail.replaceAll("[^A-Za-z0-9._~-]", "-"), random);
    }

    /** Returns the name of the trail of {@code zone}. */
    public static String zoneTrail(AvailabilityZone zone) {
        return "zone-" + zone;
    }

    /** Returns the name of the trail. */
    public String trail() {
        return trail;
    }

    /**
     * Appends an entry. If the response to a write is lost, the entry is read back and recognized by its id.
     *
     * @return the entry as stored in the trail, or an error if it could not be confirmed that it is stored
     */
    public synchronized Result<ChainedEntry, StoreFailure> append(AuditEntry entry) {
        byte[] idBytes = new byte[ID_BYTES];
        random.nextBytes(idBytes);
        String id = HexFormat.of().formatHex(idBytes);
        if (last.number() == 0) {
            Result<Pointer, StoreFailure> tip = store.readPointer(AuditStore.tipKey(trail));
            if (!tip.isOk()) {
                return Result.err(tip.error());
            }
            last = tip.value();
        }
        for (int i = 0; i < MAX_APPEND_ATTEMPTS; i++) {
            ChainedEntry next = new ChainedEntry(id, last.number() + 1, last.id(), last.hash(), 0, entry, List.of());
            if (tryWrite(next)) {
                last = Pointer.of(next);
                store.movePointer(AuditStore.tipKey(trail), last);
                prune(last.number());
                return Result.ok(next);
            }
        }
        return Result.err(new StoreFailure("the audit entry " + id + " could not be confirmed as stored"));
    }

    /** Writes the entry; if another instance took its number, advances {@code last} to the newest entry instead. */
    private boolean tryWrite(ChainedEntry next) {
        String key = String.format(NUMBER_FORMAT, next.number());
        if (store.write(trail, key, next, Precondition.absent()) instanceof WriteOutcome.Written) {
            return true;
        }
        Result<Optional<StoredObject>, StoreFailure> read = store.read(trail, key);
        if (!read.isOk() || read.value().isEmpty()) {
            return false;
        }
        Result<ChainedEntry, String> stored =
                ChainedEntry.decode(read.value().get().value());
        if (!stored.isOk()) {
            return false;
        }
        if (stored.value().id().equals(next.id())) {
            return true;
        }
        last = store.newestAtOrAfter(trail, key, stored.value());
        return false;
    }

    private void prune(long number) {
        long newestRemoved = number - MIN_RETAINED_ENTRIES;
        if (newestRemoved <= 0 || number % PRUNE_INTERVAL_ENTRIES != 0) {
            return;
        }
        for (long old = newestRemoved; old > newestRemoved - PRUNE_INTERVAL_ENTRIES && old > 0; old--) {
            String key = String.format(NUMBER_FORMAT, old);
            Result<Optional<StoredObject>, StoreFailure> read = store.read(trail, key);
            if (!read.isOk() || read.value().isEmpty()) {
                return;
            }
            Result<ChainedEntry, String> entry =
                    ChainedEntry.decode(read.value().get().value());
            if (entry.isOk()) {
                if (old == newestRemoved) {
                    store.movePointer(AuditStore.anchorKey(trail), Pointer.of(entry.value()));
                }
                store.delete(trail, key, entry.value());
            }
        }
    }
}
