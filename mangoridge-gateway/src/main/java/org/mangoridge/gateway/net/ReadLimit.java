package org.mangoridge.gateway.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Limits what one connection takes of a turn of the event loop, so that a peer that writes without end delays no other. */
final class ReadLimit {

    /** Maximum number of bytes that are read from a connection at once. */
    static final int MAX_READ_BYTES = 16 << 10;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 << 10;

    private ReadLimit() {}

    /** Returns an allocator with which a connection is read once in a turn of the event loop. */
    static RecvByteBufAllocator oneReadPerTurn() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1);
    }
}
