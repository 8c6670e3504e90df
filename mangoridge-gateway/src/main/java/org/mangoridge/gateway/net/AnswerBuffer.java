package org.mangoridge.gateway.net;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.mangoridge.core.Checks;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.verdict.AttemptProgress;

/**
 * Collects the body of one answer, within a bound of its own and within the memory of all buffers; confined to one event
 * loop.
 *
 * <p>A body that can't be kept is lost: its listener is told once, unless the buffer was closed or taken before.
 */
public final class AnswerBuffer {

    private static final int MIN_GROWTH_BYTES = 256;
    private static final int MAX_GROWTH_BYTES = 64 << 10;

    private final int maxBytes;
    private final Consumer<CallFailure> lost;
    private final BufferMemory.Buffer account;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean evicted;
    private boolean closed;

    private AnswerBuffer(BufferMemory memory, HostPort peer, int maxBytes, Consumer<CallFailure> lost) {
        Checks.argument(maxBytes > 0, "the maximum size must be positive: %d", maxBytes);
        this.maxBytes = maxBytes;
        this.lost = Checks.notNull(lost, "lost");
        this.account = memory.open(peer, this::evict, () -> lose("the buffers are full and this peer fills most"));
    }

    /**
     * Returns an empty buffer.
     *
     * @param peer the server that answers
     * @param maxBytes the maximum size of the body
     * @param lost is told if the body is too large, at once, or if it was evicted, in a later task of the event loop
     */
    public static AnswerBuffer open(BufferMemory memory, HostPort peer, int maxBytes, Consumer<CallFailure> lost) {
        return new AnswerBuffer(memory, peer, maxBytes, lost);
    }

    /** Appends the readable bytes of {@code data}; has no effect after the body was lost. */
    public void add(ByteBuf data) {
        if (closed || evicted) {
            return;
        }
        int size = body.readableBytes() + data.readableBytes();
        if (size > maxBytes) {
            lose("response exceeds the maximum size");
            return;
        }
        int capacity = capacityFor(size);
        if (account.hold(capacity)) {
            if (body == Unpooled.EMPTY_BUFFER) {
                // Grows without a copy, so that it never needs twice its size.
                body = UnpooledByteBufAllocator.DEFAULT.compositeHeapBuffer(Integer.MAX_VALUE);
            }
            body.capacity(capacity);
            body.writeBytes(data, data.readerIndex(), data.readableBytes());
        }
    }

    private int capacityFor(int size) {
        int capacity = body.capacity();
        if (size <= capacity) {
            return capacity;
        }
        int growth = Math.clamp(capacity, MIN_GROWTH_BYTES, MAX_GROWTH_BYTES);
        return Math.max(size, Math.min(capacity + growth, maxBytes));
    }

    /** Returns whether the body was evicted, so that the end of the answer does not make it complete. */
    public boolean isEvicted() {
        return evicted;
    }

    /** Returns a copy of the body. */
    public byte[] bytes() {
        return ByteBufUtil.getBytes(body);
    }

    /** Hands over the body and closes the buffer: the body is no longer accounted here. */
    public ByteBuf take() {
        ByteBuf taken = body;
        body = Unpooled.EMPTY_BUFFER;
        close();
        return taken;
    }

    /** Drops the body; repeated calls have no effect. */
    public void close() {
        closed = true;
        account.close();
        drop();
    }

    private void evict() {
        evicted = true;
        drop();
    }

    private void drop() {
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    private void lose(String detail) {
        if (!closed) {
            close();
            lost.accept(new CallFailure(AttemptProgress.ANSWER_PARTLY_RECEIVED, false, detail));
        }
    }
}
