package org.mangoridge.gateway.net;

import org.mangoridge.core.Checks;

/** Bounds the memory held by the bodies of all requests; confined to one event loop. */
public final class BodyMemory {

    private final long limitBytes;
    private long usedBytes;

    private BodyMemory(long limitBytes) {
        Checks.argument(limitBytes > 0, "limit must be positive: %d", limitBytes);
        this.limitBytes = limitBytes;
    }

    /** Returns a budget of {@code limitBytes} bytes. */
    public static BodyMemory of(long limitBytes) {
        return new BodyMemory(limitBytes);
    }

    /** Returns the bytes that are held now. */
    public long usedBytes() {
        return usedBytes;
    }

    boolean tryReserve(int bytes) {
        if (usedBytes + bytes > limitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        usedBytes -= bytes;
    }
}
