package org.mangoridge.gateway.net;

/** Memories for tests that don't reach their limit. */
final class TestBuffers {

    private TestBuffers() {}

    /** Returns a memory with more room than a test fills. */
    static BufferMemory ample() {
        return BufferMemory.of(Long.MAX_VALUE, Runnable::run, (peer, bytes, peerBytes, usedBytes) -> {});
    }
}
