package org.mangoridge.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.mangoridge.objects.http.PlatformMessages;

/** Versioned objects with a bounded history of changes; thread-safe. */
final class ObjectTable {

    /**
     * A snapshot of all objects.
     *
     * @param objects the objects by key
     * @param revision the revision of the snapshot
     */
    record Copy(TreeMap<String, PlatformMessages.ObjectMessage> objects, long revision) {}

    private static final int MAX_HISTORY_CHANGES = 10_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, PlatformMessages.ObjectMessage> objects = new TreeMap<>();
    private final Deque<PlatformMessages.ObjectMessage> history = new ArrayDeque<>();
    private long revision;
    private long discardedRevision;

    Optional<PlatformMessages.ObjectMessage> read(String key) {
        lock.lock();
        try {
            return Optional.ofNullable(objects.get(key));
        } finally {
            lock.unlock();
        }
    }

    /** Returns the latest earlier version of an object that the history still holds; empty if there is none. */
    Optional<PlatformMessages.ObjectMessage> readPrevious(String key) {
        lock.lock();
        try {
            long current = versionOf(key);
            return history.stream()
                    .filter(change -> change.key().equals(key) && change.version() < current && change.value() != null)
                    .reduce((earlier, later) -> later);
        } finally {
            lock.unlock();
        }
    }

    Copy copy() {
        lock.lock();
        try {
            return new Copy(new TreeMap<>(objects), revision);
        } finally {
            lock.unlock();
        }
    }

    /** Restores {@code copy}; watches from another revision are told that changes are missing. */
    void restore(Copy copy) {
        lock.lock();
        try {
            objects.clear();
            objects.putAll(copy.objects());
            history.clear();
            revision = copy.revision();
            discardedRevision = revision;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Writes an object if it has the expected version, 0 for absent; returns the new version; empty on conflict. */
    Optional<Long> write(String key, byte[] value, long expected) {
        lock.lock();
        try {
            if (versionOf(key) != expected) {
                return Optional.empty();
            }
            PlatformMessages.ObjectMessage object = new PlatformMessages.ObjectMessage(key, ++revision, value);
            objects.put(key, object);
            appendHistory(object);
            return Optional.of(revision);
        } finally {
            lock.unlock();
        }
    }

    /** Deletes an object if it has the expected version; returns the deletion's revision; empty on conflict. */
    Optional<Long> delete(String key, long expected) {
        lock.lock();
        try {
            if (expected == 0 || versionOf(key) != expected) {
                return Optional.empty();
            }
            objects.remove(key);
            appendHistory(new PlatformMessages.ObjectMessage(key, ++revision, null));
            return Optional.of(revision);
        } finally {
            lock.unlock();
        }
    }

    List<PlatformMessages.ObjectMessage> list(String prefix, String after, int limit) {
        lock.lock();
        try {
            List<PlatformMessages.ObjectMessage> page = new ArrayList<>();
            for (PlatformMessages.ObjectMessage object :
                    objects.tailMap(prefix, true).values()) {
                if (!object.key().startsWith(prefix) || page.size() >= limit) {
                    break;
                }
                if (object.key().compareTo(after) > 0) {
                    page.add(object);
                }
            }
            return page;
        } finally {
            lock.unlock();
        }
    }

    PlatformMessages.Changes watch(String prefix, long after, Duration wait) {
        lock.lock();
        try {
            long remaining = wait.toNanos();
            List<PlatformMessages.ObjectMessage> changes = changesAfter(prefix, after);
            while (changes.isEmpty() && hasHistorySince(after) && remaining > 0) {
                remaining = changed.awaitNanos(remaining);
                changes = changesAfter(prefix, after);
            }
            return new PlatformMessages.Changes(revision, hasHistorySince(after), changes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new PlatformMessages.Changes(after, true, List.of());
        } finally {
            lock.unlock();
        }
    }

    private long versionOf(String key) {
        PlatformMessages.ObjectMessage object = objects.get(key);
        return object == null ? 0 : object.version();
    }

    private boolean hasHistorySince(long after) {
        return after >= discardedRevision && after <= revision;
    }

    private void appendHistory(PlatformMessages.ObjectMessage change) {
        history.addLast(change);
        if (history.size() > MAX_HISTORY_CHANGES) {
            discardedRevision = history.removeFirst().version();
        }
        changed.signalAll();
    }

    private List<PlatformMessages.ObjectMessage> changesAfter(String prefix, long after) {
        return history.stream()
                .filter(change -> change.version() > after && change.key().startsWith(prefix))
                .toList();
    }
}
