package org.mangoridge.dispatch.follow;

import java.util.List;

/** Receives the objects of one kind and their changes; called on the event loop. */
public interface FeedListener<T> {

    /** Called with all objects after a list. */
    void replaced(List<T> items);

    /** Called when an object was created or changed. */
    void put(T item);

    /** Called when an object was removed. */
    void removed(String name);

    /** Called after each call to the store that shows whether it is reachable; {@code detail} describes the failure. */
    void reachable(boolean reachable, String detail);
}
