package org.mangoridge.gateway.net;

import java.util.Arrays;

import org.mangoridge.core.id.RequestId;

/**
 * The requests that a connection has carried, so that it carries none of them again.
 *
 * <p>Keeps hash codes only: two ids with the same one cost a new connection, no more.
 */
final class CarriedRequests {

    /** Number of requests after which a connection is replaced, which bounds the memory. */
    static final int MAX_REQUESTS = 512;

    private int[] hashes = new int[4];
    private int size;

    void add(RequestId id) {
        if (size == hashes.length) {
            hashes = Arrays.copyOf(hashes, size * 2);
        }
        hashes[size++] = id.hashCode();
    }

    /** Returns whether a request was carried; true for few others as well. */
    boolean mayContain(RequestId id) {
        int hash = id.hashCode();
        for (int i = 0; i < size; i++) {
            if (hashes[i] == hash) {
                return true;
            }
        }
        return false;
    }

    boolean isFull() {
        return size >= MAX_REQUESTS;
    }
}
