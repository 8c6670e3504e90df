package org.mangoridge.gateway.follow;

import java.util.List;

/** Hears of the objects of one kind. */
public interface FeedListener<T> {

    /** All objects, after a list. */
    void replaced(List<T> items);

    /** An object is new or changed. */
    void put(T item);

    /** An object is no longer there. */
    void removed(String name);

    /** The store answers, or does not. */
    void reachable(boolean reachable, String detail);
}
