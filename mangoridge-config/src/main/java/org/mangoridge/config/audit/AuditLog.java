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
 * Appends entries to one trail, each naming the hash of the one before it.
 *
 * <p>Calls block and are made on traffic threads or timers. Several instances may append to the same trail: the key of
 * an entry is its number, and only one can be written under it. Safe for use by several threads.
 */
public final class AuditLog {

    /** The trail of refused applies. */
    public static final String REFUSALS = "refusals";

    /** How many entries a trail keeps at least. */
    public static final int MIN_RETAINED_ENTRIES = 5_000;

    private static final int PRUNE_EVERY = 100;
    private static final int APPEND_TRIES = 12;
    private static final int ID_BYTES = 8;
    private static final String NUMBER_FORM = "%019d";

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
     * @param trail the trail's name; characters that a key can't hold are replaced
     * @param random draws the names of entries
     */
    public static AuditLog create(ObjectStore store, String trail, RandomGenerator random) {
        return new AuditLog(AuditStore.create(store), trail.replaceAll("[^A-Za-z0-9._~-]", "-"), random);
    }

    /** Returns the name of the trail of what happens in {@code zone}. */
    public static String zoneTrail(AvailabilityZone zone) {
        return "zone-" + zone;
    }

    /** Returns the name of the trail. */
    public String trail() {
        return trail;
    }

    /**
     * Appends an entry; an answer that was lost after the write is settled by the entry's own name.
     *
     * @return the entry as it stands in the trail, or why it is not known to stand there
     */
    public synchronized Result<ChainedEntry, StoreFailure> append(AuditEntry entry) {
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(id);
        String name = HexFormat.of().formatHex(id);
        if (last.number() == 0) {
            Result<Pointer, StoreFailure> tip = store.readPointer(AuditStore.tipKey(trail));
            if (!tip.isOk()) {
                return Result.err(tip.error());
            }
            last = tip.value();
        }
        for (int i = 0; i < APPEND_TRIES; i++) {
            ChainedEntry next = new ChainedEntry(name, last.number() + 1, last.id(), last.hash(), 0, entry, List.of());
            if (isWritten(next)) {
                last = Pointer.of(next);
                store.movePointer(AuditStore.tipKey(trail), last);
                prune(last.number());
                return Result.ok(next);
            }
        }
        return Result.err(new StoreFailure("the audit entry " + name + " is not known to be kept"));
    }

    /** Writes the entry, or moves on to the one that another instance wrote under the number. */
    private boolean isWritten(ChainedEntry next) {
        String key = String.format(NUMBER_FORM, next.number());
        if (store.write(trail, key, next, Precondition.absent()) instanceof WriteOutcome.Written) {
            return true;
        }
        Result<Optional<StoredObject>, StoreFailure> read = store.read(trail, key);
        if (!read.isOk() || read.value().isEmpty()) {
            return false;
        }
        Result<ChainedEntry, String> there =
                ChainedEntry.decode(read.value().get().value());
        if (!there.isOk()) {
            return false;
        }
        if (there.value().id().equals(next.id())) {
            return true;
        }
        last = store.newestAtOrAfter(trail, key, there.value());
        return false;
    }

    private void prune(long number) {
        long newestRemoved = number - MIN_RETAINED_ENTRIES;
        if (newestRemoved <= 0 || number % PRUNE_EVERY != 0) {
            return;
        }
        for (long old = newestRemoved; old > newestRemoved - PRUNE_EVERY && old > 0; old--) {
            String key = String.format(NUMBER_FORM, old);
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
