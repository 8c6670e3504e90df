package org.mangoridge.gateway.net;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;

import org.mangoridge.core.Checks;
import org.mangoridge.core.net.HostPort;

/**
 * Bounds the memory that buffers of all connections hold in the sum; confined to one event loop.
 *
 * <p>When the limit is reached, the peer that fills most memory loses its largest buffer, so that a faulty peer does not
 * take the memory of its neighbours.
 */
public final class BufferMemory {

    private final long limitBytes;
    private final Executor loop;
    private final EvictionListener listener;
    private final Map<HostPort, Share> byPeer = new HashMap<>();
    private long usedBytes;

    /** Is told of each eviction before the buffer is given up. */
    public interface EvictionListener {

        /**
         * Called when a buffer has to go.
         *
         * @param peer the peer that filled it
         * @param bytes the bytes that it held
         * @param peerBytes the bytes that all buffers of the peer held
         * @param usedBytes the bytes that all buffers held
         */
        void evicted(HostPort peer, long bytes, long peerBytes, long usedBytes);
    }

    private static final class Share {

        private final Set<Buffer> buffers = new LinkedHashSet<>();
        private long bytes;
    }

    /** The account of one buffer. */
    public final class Buffer {

        private final HostPort peer;
        private final Runnable release;
        private final Runnable evicted;
        private long bytes;
        private boolean closed;

        private Buffer(HostPort peer, Runnable release, Runnable evicted) {
            this.peer = peer;
            this.release = release;
            this.evicted = evicted;
        }

        /**
         * Sets the bytes that the buffer is about to hold; other buffers, or this one, are evicted if there is no room.
         *
         * @return false if this buffer was evicted now or before, so that it must not grow
         */
        public boolean hold(long newBytes) {
            if (closed) {
                return false;
            }
            if (newBytes == bytes) {
                return true;
            }
            Share share = byPeer.computeIfAbsent(peer, unused -> new Share());
            share.buffers.add(this);
            share.bytes += newBytes - bytes;
            usedBytes += newBytes - bytes;
            bytes = newBytes;
            if (bytes == 0) {
                remove(share);
            }
            while (usedBytes > limitBytes) {
                evictLargest();
            }
            return !closed;
        }

        /** Returns whether the buffer was closed or evicted. */
        public boolean isClosed() {
            return closed;
        }

        /** Gives all bytes back; repeated calls have no effect. */
        public void close() {
            if (!closed) {
                closed = true;
                Share share = byPeer.get(peer);
                if (share != null && share.buffers.contains(this)) {
                    usedBytes -= bytes;
                    share.bytes -= bytes;
                    bytes = 0;
                    remove(share);
                }
            }
        }

        private void remove(Share share) {
            share.buffers.remove(this);
            if (share.buffers.isEmpty()) {
                byPeer.remove(peer);
            }
        }
    }

    private BufferMemory(long limitBytes, Executor loop, EvictionListener listener) {
        this.limitBytes = limitBytes;
        this.loop = loop;
        this.listener = listener;
    }

    /**
     * Returns a memory without buffers.
     *
     * @param limitBytes the bytes that all buffers may hold
     * @param loop runs the tasks that give buffers up, after the task in which the limit was reached
     */
    public static BufferMemory of(long limitBytes, Executor loop, EvictionListener listener) {
        Checks.argument(limitBytes > 0, "limit must be positive: %d", limitBytes);
        return new BufferMemory(limitBytes, loop, listener);
    }

    /**
     * Opens the account of a buffer that holds nothing yet.
     *
     * @param peer the peer that fills it
     * @param evict gives the buffer up; called at most once, when its account is closed already
     */
    public Buffer open(HostPort peer, Runnable evict) {
        return open(peer, () -> {}, evict);
    }

    /**
     * Opens the account of a buffer that holds nothing yet and can give its bytes up at once.
     *
     * @param peer the peer that fills it
     * @param release drops the bytes, within the task in which the limit was reached; must call nothing else
     * @param evicted is called at most once, in a later task, when the bytes are dropped already
     */
    public Buffer open(HostPort peer, Runnable release, Runnable evicted) {
        return new Buffer(
                Checks.notNull(peer, "peer"), Checks.notNull(release, "release"), Checks.notNull(evicted, "evicted"));
    }

    /** Returns the bytes that all buffers hold. */
    public long usedBytes() {
        return usedBytes;
    }

    private void evictLargest() {
        Share heaviest = byPeer.values().stream()
                .max(Comparator.comparingLong(share -> share.bytes))
                .orElseThrow();
        Buffer largest = heaviest.buffers.stream()
                .max(Comparator.comparingLong(buffer -> buffer.bytes))
                .orElseThrow();
        listener.evicted(largest.peer, largest.bytes, heaviest.bytes, usedBytes);
        largest.close();
        largest.release.run();
        loop.execute(largest.evicted);
    }
}
