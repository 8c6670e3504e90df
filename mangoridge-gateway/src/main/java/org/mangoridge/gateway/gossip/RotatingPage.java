package org.mangoridge.gateway.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Selects what fits into a datagram: the newest items, which are the least known, and some of the others in turn. Not
 * thread-safe.
 */
final class RotatingPage<T> {

    private final int maxBytes;
    private final ToIntFunction<T> sizeOf;
    private int turn;

    /**
     * Creates a selection that has told nothing.
     *
     * @param maxBytes the maximum size of a page; an item that is larger has a page of its own
     * @param sizeOf the encoded size of an item in bytes
     */
    RotatingPage(int maxBytes, ToIntFunction<T> sizeOf) {
        this.maxBytes = maxBytes;
        this.sizeOf = sizeOf;
    }

    /** Returns the next page of {@code items}, the newest of which is the first. */
    List<T> next(List<T> items) {
        List<T> page = new ArrayList<>();
        int size = 0;
        int newest = 0;
        while (newest < items.size() && size + sizeOf.applyAsInt(items.get(newest)) <= maxBytes / 2) {
            size += sizeOf.applyAsInt(items.get(newest));
            page.add(items.get(newest++));
        }
        int others = items.size() - newest;
        for (int i = 0; i < others; i++) {
            T item = items.get(newest + turn % others);
            if (!page.isEmpty() && size + sizeOf.applyAsInt(item) > maxBytes) {
                break;
            }
            size += sizeOf.applyAsInt(item);
            page.add(item);
            turn++;
        }
        return page;
    }
}
