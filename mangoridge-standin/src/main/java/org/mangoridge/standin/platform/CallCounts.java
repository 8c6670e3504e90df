package org.mangoridge.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts the received calls by kind; thread-safe. */
public final class CallCounts {

    /** A kind of call. */
    public enum Kind {
        /** A read of one object. */
        READ,
        /** A list of objects. */
        LIST,
        /** A write. */
        WRITE,
        /** A deletion. */
        DELETE,
        /** A watch. */
        WATCH,
        /** A read of the list of instances. */
        INSTANCES
    }

    private final Map<Kind, Long> calls = new TreeMap<>();
    private int openWatches;

    CallCounts() {}

    synchronized void add(Kind kind) {
        calls.merge(kind, 1L, Long::sum);
    }

    synchronized void watchStarted() {
        add(Kind.WATCH);
        openWatches++;
    }

    synchronized void watchEnded() {
        openWatches--;
    }

    /** Returns the calls of {@code kind} so far. */
    public synchronized long of(Kind kind) {
        return calls.getOrDefault(kind, 0L);
    }

    /** Returns all calls so far. */
    public synchronized long total() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the number of open watches. */
    public synchronized int waitingWatches() {
        return openWatches;
    }

    synchronized Map<Kind, Long> byKind() {
        return new TreeMap<>(calls);
    }
}
