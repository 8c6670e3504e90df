package org.mangoridge.dispatch.follow;

import java.util.ArrayList;
import java.util.List;

/**
 * The era of the platform's store, which rises each time the store is restored from a copy; used on the event loop.
 *
 * <p>A restore loses the writes since the copy was made, and the store gives out their revisions again, so that nothing
 * read or written in an earlier era can be compared with what the store holds now.
 */
public final class StoreEra {

    private static final long UNKNOWN = -1;

    private final List<Listener> listeners = new ArrayList<>();
    private long current = UNKNOWN;

    /** Learns of a restore. */
    @FunctionalInterface
    public interface Listener {

        /** Called when an answer of the store shows that it was restored; {@code era} is its era since then. */
        void restored(long era);
    }

    private StoreEra() {}

    /** Returns the era of a store that has not answered yet. */
    public static StoreEra create() {
        return new StoreEra();
    }

    /** Adds a listener. */
    public void onRestore(Listener listener) {
        listeners.add(listener);
    }

    /** Records the era in an answer of the store; returns false if the answer is from before a known restore. */
    public boolean observe(long era) {
        if (era < current) {
            return false;
        }
        boolean restored = current != UNKNOWN && era > current;
        current = era;
        if (restored) {
            listeners.forEach(listener -> listener.restored(era));
        }
        return true;
    }

    /** Returns the era of the newest answer; zero if the store has not answered or names no era. */
    public long current() {
        return Math.max(0, current);
    }
}
