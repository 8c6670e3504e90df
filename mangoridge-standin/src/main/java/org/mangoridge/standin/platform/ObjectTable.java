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

/** Objects with versions and a bounded history of changes; safe for use by several threads. */
final class ObjectTable {

    /**
     * All objects at one time.
     *
     * @param objects the objects by key
     * @param revision the revision reached
     */
    record Copy(TreeMap<String, PlatformMessages.ObjectMessage> objects, long revision) {}

    private static final int MAX_HISTORY = 10_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, PlatformMessages.ObjectMessage> objects = new TreeMap<>();
    private final Deque<PlatformMessages.ObjectMessage> history = new ArrayDeque<>();
    private long revision;
    private long forgotten;

    Optional<PlatformMessages.ObjectMessage> read(String key) {
        lock.lock();
        try {
            return Optional.ofNullable(objects.get(key));
        } finally {
            lock.unlock();
        }
    }

    /** Returns the object as it was before its last write that the history still holds; absent if there is none. */
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

    /** Goes back to {@code copy}; watches that started from a later revision are told that changes are missing. */
    void restore(Copy copy) {
        lock.lock();
        try {
            objects.clear();
            objects.putAll(copy.objects());
            history.clear();
            revision = copy.revision();
            forgotten = revision;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Writes if the object has the expected version, 0 for absent; returns the new version. */
    Optional<Long> write(String key, byte[] value, long expected) {
        lock.lock();
        try {
            if (versionOf(key) != expected) {
                return Optional.empty();
            }
            PlatformMessages.ObjectMessage object = new PlatformMessages.ObjectMessage(key, ++revision, value);
            objects.put(key, object);
            remember(object);
            return Optional.of(revision);
        } finally {
            lock.unlock();
        }
    }

    /** Deletes if the object has the expected version; returns the revision of the deletion. */
    Optional<Long> delete(String key, long expected) {
        lock.lock();
        try {
            if (expected == 0 || versionOf(key) != expected) {
                return Optional.empty();
            }
            objects.remove(key);
            remember(new PlatformMessages.ObjectMessage(key, ++revision, null));
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
            while (changes.isEmpty() && isKnown(after) && remaining > 0) {
                remaining = changed.awaitNanos(remaining);
                changes = changesAfter(prefix, after);
            }
            return new PlatformMessages.Changes(revision, isKnown(after), changes);
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

    private boolean isKnown(long after) {
        return after >= forgotten && after <= revision;
    }

    private void remember(PlatformMessages.ObjectMessage change) {
        history.addLast(change);
        if (history.size() > MAX_HISTORY) {
            forgotten = history.removeFirst().version();
        }
        changed.signalAll();
    }

    private List<PlatformMessages.ObjectMessage> changesAfter(String prefix, long after) {
        return history.stream()
                .filter(change -> change.version() > after && change.key().startsWith(prefix))
                .toList();
    }
}
