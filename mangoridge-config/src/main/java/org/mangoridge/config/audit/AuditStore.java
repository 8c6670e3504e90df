package org.mangoridge.config.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangoridge.config.content.Sha256;
import org.mangoridge.core.Result;
import org.mangoridge.http.Json;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;

/**
 * Reads and writes audit trails in the platform's object store: the entries, the tip and the anchor of each trail.
 *
 * <p>The tip points at the newest entry, or at an earlier one if its last update was lost. The anchor points at the
 * newest entry that was pruned, so that the remaining chain can still be verified.
 */
public final class AuditStore {

    /** The trail of accepted changes of the configuration. */
    public static final String CHANGES = "config";

    private static final int PAGE_SIZE = 500;
    private static final int MAX_CHANGES_PER_PIECE = 400;
    private static final int MAX_WRITE_ATTEMPTS = 3;

    /**
     * A reference to an entry of a trail.
     *
     * @param id the id of the entry
     * @param number the position of the entry in the trail, from 1
     * @param hash the hash of the entry
     */
    public record Pointer(String id, long number, String hash) {

        /** Returns the pointer that precedes the first entry. */
        public static Pointer start() {
            return new Pointer("", 0, "");
        }

        /** Returns a pointer to {@code entry}. */
        public static Pointer of(ChainedEntry entry) {
            return new Pointer(entry.id(), entry.number(), entry.hash());
        }
    }

    /** The stored form of a list of changed keys. */
    private record ChangeList(List<KeyChange> changes) {}

    private final ObjectStore store;

    private AuditStore(ObjectStore store) {
        this.store = store;
    }

    /** Returns an audit store that is backed by {@code store}. */
    public static AuditStore create(ObjectStore store) {
        return new AuditStore(store);
    }

    /** Returns the key of an entry. */
    static ObjectKey entryKey(String trail, String name) {
        return ObjectKey.of("audit/" + trail + "/" + name);
    }

    /** Returns the key of the tip of {@code trail}. */
    static ObjectKey tipKey(String trail) {
        return ObjectKey.of("audit-tip/" + trail);
    }

    /** Returns the key of the anchor of {@code trail}. */
    static ObjectKey anchorKey(String trail) {
        return ObjectKey.of("audit-anchor/" + trail);
    }

    /** Reads an entry of a trail by the last segment of its key. */
    public Result<Optional<StoredObject>, StoreFailure> read(String trail, String name) {
        return store.read(entryKey(trail, name));
    }

    /** Writes an entry if {@code condition} holds; {@code name} is the last segment of its key. */
    public WriteOutcome write(String trail, String name, ChainedEntry entry, Precondition condition) {
        return store.write(entryKey(trail, name), entry.encode(), condition);
    }

    /** Reads all entries of a trail in pages; malformed entries are skipped. */
    public Result<List<ChainedEntry>, StoreFailure> readEntries(String trail) {
        List<ChainedEntry> entries = new ArrayList<>();
        String after = "";
        while (true) {
            Result<List<StoredObject>, StoreFailure> page = store.list("audit/" + trail + "/", after, PAGE_SIZE);
            if (!page.isOk()) {
                return Result.err(page.error());
            }
            for (StoredObject object : page.value()) {
                Result<ChainedEntry, String> entry = ChainedEntry.decode(object.value());
                if (entry.isOk()) {
                    entries.add(entry.value());
                }
                after = object.key().path();
            }
            if (page.value().size() < PAGE_SIZE) {
                return Result.ok(entries);
            }
        }
    }

    /** Returns the last entry of the page after {@code name}, or {@code entry} itself if that page is not available. */
    Pointer newestAtOrAfter(String trail, String name, ChainedEntry entry) {
        Result<List<StoredObject>, StoreFailure> later =
                store.list("audit/" + trail + "/", entryKey(trail, name).path(), PAGE_SIZE);
        if (!later.isOk() || later.value().isEmpty()) {
            return Pointer.of(entry);
        }
        StoredObject newest = later.value().get(later.value().size() - 1);
        return toOptional(ChainedEntry.decode(newest.value())).map(Pointer::of).orElse(Pointer.of(entry));
    }

    /** Reads a tip or an anchor; returns {@link Pointer#start()} if it does not exist or is malformed. */
    Result<Pointer, StoreFailure> readPointer(ObjectKey key) {
        return store.read(key)
                .map(object -> object.flatMap(value -> toOptional(Json.read(value.value(), Pointer.class)))
                        .orElse(Pointer.start()));
    }

    /** Moves a tip or an anchor forward, never back. A failed write is not retried; the next move replaces it. */
    void movePointer(ObjectKey key, Pointer pointer) {
        Result<Optional<StoredObject>, StoreFailure> current = store.read(key);
        if (!current.isOk()) {
            return;
        }
        long number = current.value()
                .flatMap(object -> toOptional(Json.read(object.value(), Pointer.class)))
                .map(Pointer::number)
                .orElse(0L);
        if (number < pointer.number()) {
            Precondition condition = current.value()
                    .map(object -> Precondition.atVersion(object.version()))
                    .orElse(Precondition.absent());
            store.write(key, Json.bytes(pointer), condition);
        }
    }

    /** Deletes an entry and its lists of changed keys. */
    void delete(String trail, String name, ChainedEntry entry) {
        for (String piece : entry.changePieces()) {
            deleteObject(pieceKey(entry.id(), piece));
        }
        deleteObject(entryKey(trail, name));
    }

    /** Writes the changed keys of an apply in lists of limited size and returns the hashes of the lists. */
    public Result<List<String>, StoreFailure> writeKeyChanges(String id, List<KeyChange> changes) {
        List<String> hashes = new ArrayList<>();
        for (int start = 0; start < changes.size(); start += MAX_CHANGES_PER_PIECE) {
            List<KeyChange> part = changes.subList(start, Math.min(changes.size(), start + MAX_CHANGES_PER_PIECE));
            byte[] json = Json.bytes(new ChangeList(part));
            String hash = Sha256.of(json);
            if (!writeIfAbsent(pieceKey(id, hash), json)) {
                return Result.err(new StoreFailure("the platform did not take the list of changes"));
            }
            hashes.add(hash);
        }
        return Result.ok(hashes);
    }

    /** Reads the changed keys of an entry; returns an error if a list is missing or its hash does not match. */
    public Result<List<KeyChange>, StoreFailure> readKeyChanges(ChainedEntry entry) {
        List<KeyChange> changes = new ArrayList<>();
        for (String hash : entry.changePieces()) {
            Result<Optional<StoredObject>, StoreFailure> read = store.read(pieceKey(entry.id(), hash));
            if (!read.isOk()) {
                return Result.err(read.error());
            }
            if (read.value().isEmpty() || !Sha256.of(read.value().get().value()).equals(hash)) {
                return Result.err(new StoreFailure("a list of changes of " + entry.id() + " does not verify"));
            }
            toOptional(Json.read(read.value().get().value(), ChangeList.class))
                    .ifPresent(list -> changes.addAll(list.changes()));
        }
        return Result.ok(changes);
    }

    /** Writes an object unless it exists; returns whether it is stored. */
    private boolean writeIfAbsent(ObjectKey key, byte[] value) {
        for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
            WriteOutcome outcome = store.write(key, value, Precondition.absent());
            if (outcome instanceof WriteOutcome.Written || outcome instanceof WriteOutcome.Conflict) {
                return true;
            }
        }
        return false;
    }

    private void deleteObject(ObjectKey key) {
        Result<Optional<StoredObject>, StoreFailure> read = store.read(key);
        if (read.isOk() && read.value().isPresent()) {
            store.delete(key, read.value().get().version());
        }
    }

    private static ObjectKey pieceKey(String id, String hash) {
        return ObjectKey.of("audit-piece/" + id + "/" + hash);
    }

    private static <T> Optional<T> toOptional(Result<T, String> result) {
        return result.isOk() ? Optional.of(result.value()) : Optional.empty();
    }
}
