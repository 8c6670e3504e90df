package org.mangoridge.gateway.net;

import org.mangoridge.core.Checks;

/** Bounds the memory that the bodies of all requests take; used on one event loop. */
public final class BodyMemory {

    private final long limit;
    private long used;

    private BodyMemory(long limit) {
        Checks.argument(limit > 0, "limit must be positive: %d", limit);
        this.limit = limit;
    }

    /** Returns memory for {@code limit} bytes. */
    public static BodyMemory of(long limit) {
        return new BodyMemory(limit);
    }

    boolean tryReserve(int bytes) {
        if (used + bytes > limit) {
            return false;
        }
        used += bytes;
        return true;
    }

    void release(int bytes) {
        used -= bytes;
    }
}
