package org.mangoridge.dispatch.follow;

import java.time.Duration;
import java.util.List;

/** Receives the objects of one kind and their changes; called on the event loop. */
public interface FeedListener<T> {

    /** Called with all objects after a list. */
    void replaced(List<T> items);

    /** Called when an object was created or changed. */
    void put(T item);

    /** Called when an object was removed. */
    void removed(String name);

    /** Called after each call that the store answered. */
    void reachable();

    /**
     * Called after each call that did not reach the store.
     *
     * @param asOf the latest time at which the store certainly could not be reached, on the monotonic clock
     * @param detail a description for the log
     */
    void unreachable(Duration asOf, String detail);
}
