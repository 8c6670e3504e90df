package org.mangoridge.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts the calls that the platform received by their kind; safe for use by several threads. */
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
        /** A watch, from its start to its answer. */
        WATCH,
        /** A read of the list of instances. */
        INSTANCES
    }

    private final Map<Kind, Long> calls = new TreeMap<>();
    private int waiting;

    CallCounts() {}

    synchronized void add(Kind kind) {
        calls.merge(kind, 1L, Long::sum);
    }

    synchronized void watchStarted() {
        add(Kind.WATCH);
        waiting++;
    }

    synchronized void watchEnded() {
        waiting--;
    }

    /** Returns the calls of {@code kind} so far. */
    public synchronized long of(Kind kind) {
        return calls.getOrDefault(kind, 0L);
    }

    /** Returns all calls so far. */
    public synchronized long total() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the watches that wait now. */
    public synchronized int waitingWatches() {
        return waiting;
    }

    synchronized Map<Kind, Long> byKind() {
        return new TreeMap<>(calls);
    }
}
