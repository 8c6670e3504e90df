package org.mangoridge.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.StreamAllowance;
import org.mangoridge.gateway.net.BufferMemory;

/**
 * Splits the bytes of a server-sent event stream into complete events, so that callers never receive a partial one.
 *
 * <p>Blank lines and comments are no events by themselves; they are passed on together, before the next event or at the end
 * of the data.
 */
final class EventBuffer {

    /** Maximum size of an event; engines never send larger ones. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    /** First character of a line that is a comment. */
    private static final byte COMMENT = ':';

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /** Capacity that an empty buffer keeps. */
    private static final int MAX_EMPTY_CAPACITY_BYTES = 2 << 10;

    private final ByteBuf pending;
    private final BufferMemory.Buffer account;
    private final StreamAllowance allowance;
    private long eventCount;
    private long byteCount;
    private boolean hasExcessEvent;
    private boolean evicted;
    /** Number of pending bytes that were searched for the end of a line. */
    private int searchedBytes;
    /** Offset in the pending bytes of the line that the search has reached. */
    private int lineStart;
    /** Number of pending bytes up to the last blank line before the first field. */
    private int separatorBytes;

    private boolean hasField;

    /**
     * A complete event, or blank lines and comments that no event follows yet.
     *
     * @param bytes the bytes of the event, including the terminating blank line and what precedes the event
     * @param id the numeric event id; empty if the event has none
     * @param separator whether these are blank lines and comments only
     */
    record Event(byte[] bytes, OptionalLong id, boolean separator) {}

    private EventBuffer(
            ByteBuf pending, StreamAllowance allowance, BufferMemory memory, HostPort peer, Runnable onEviction) {
        this.pending = pending;
        this.allowance = allowance;
        this.account = memory.open(peer, this::evict, onEviction);
    }

    /**
     * Returns an empty buffer for a stream.
     *
     * @param allowance what the stream may consist of
     * @param memory bounds the bytes of all buffers
     * @param peer the server that sends the stream
     * @param onEviction is called in a later task of the event loop if the bytes of an incomplete event were dropped
     */
    static EventBuffer of(StreamAllowance allowance, BufferMemory memory, HostPort peer, Runnable onEviction) {
        return over(Unpooled.buffer(512), allowance, memory, peer, onEviction);
    }

    /** Returns a buffer that keeps the bytes of an incomplete event in {@code pending}. */
    static EventBuffer over(
            ByteBuf pending, StreamAllowance allowance, BufferMemory memory, HostPort peer, Runnable onEviction) {
        return new EventBuffer(pending, allowance, memory, peer, onEviction);
    }

    /** Appends data and returns the events that are now complete, up to the allowance of the stream. */
    List<Event> add(ByteBuf data) {
        if (!account.hold(capacityFor(data.readableBytes()))) {
            return List.of();
        }
        byteCount += data.readableBytes();
        pending.writeBytes(data, data.readerIndex(), data.readableBytes());
        List<Event> events = new ArrayList<>();
        int length = lengthOfNextEvent();
        while (length > 0 && eventCount < allowance.events()) {
            hasField = false;
            events.add(take(length, false));
            length = lengthOfNextEvent();
        }
        hasExcessEvent = length > 0;
        if (separatorBytes > 0 && eventCount < allowance.events()) {
            events.add(take(separatorBytes, true));
        }
        pending.discardReadBytes();
        if (!pending.isReadable()) {
            if (pending.capacity() > MAX_EMPTY_CAPACITY_BYTES) {
                pending.capacity(MAX_EMPTY_CAPACITY_BYTES);
            }
            account.hold(0);
        }
        return events;
    }

    private int capacityFor(int added) {
        return added <= pending.writableBytes()
                ? pending.capacity()
                : pending.alloc().calculateNewCapacity(pending.writerIndex() + added, pending.maxCapacity());
    }

    private void evict() {
        evicted = true;
        clear();
        pending.capacity(0);
    }

    /** Returns whether the bytes of an incomplete event were dropped, so that the stream can't go on. */
    boolean isEvicted() {
        return evicted;
    }

    /** Gives the memory back, when the stream has ended; it must not be added to any more. */
    void close() {
        account.close();
    }

    private Event take(int length, boolean separator) {
        byte[] bytes = new byte[length];
        pending.readBytes(bytes);
        searchedBytes -= length;
        lineStart -= length;
        separatorBytes = 0;
        eventCount++;
        return new Event(bytes, idOf(bytes), separator);
    }

    /** Returns whether the buffer contains part of an incomplete event. */
    boolean hasPartial() {
        return evicted || pending.isReadable();
    }

    /** Returns which bound the stream exceeds; empty if it keeps them. */
    Optional<String> exceededBound() {
        if (pending.readableBytes() > MAX_EVENT_BYTES) {
            return Optional.of("event exceeds the maximum size");
        }
        boolean allowed = !hasExcessEvent && byteCount <= allowance.bytes();
        return allowed ? Optional.empty() : Optional.of("stream exceeds what its request allows: " + allowance);
    }

    /** Discards the buffered data. */
    void clear() {
        pending.clear();
        searchedBytes = 0;
        lineStart = 0;
        separatorBytes = 0;
        hasField = false;
    }

    /** Continues the search for the next complete event and returns its length with its blank line; -1 if there is none. */
    private int lengthOfNextEvent() {
        int start = pending.readerIndex();
        int end = pending.writerIndex();
        int lineEnd = endOfLine(start, end);
        while (lineEnd >= 0) {
            boolean blank = isBlank(start + lineStart, lineEnd);
            hasField |= !blank && pending.getByte(start + lineStart) != COMMENT;
            searchedBytes = lineEnd + 1 - start;
            lineStart = searchedBytes;
            if (blank && hasField) {
                return searchedBytes;
            }
            if (blank) {
                separatorBytes = searchedBytes;
            }
            lineEnd = endOfLine(start, end);
        }
        searchedBytes = end - start;
        return -1;
    }

    private int endOfLine(int start, int end) {
        return pending.forEachByte(start + searchedBytes, end - start - searchedBytes, ByteProcessor.FIND_LF);
    }

    private boolean isBlank(int from, int to) {
        return from == to || from + 1 == to && pending.getByte(from) == '\r';
    }

    private static OptionalLong idOf(byte[] event) {
        int lineStart = 0;
        while (lineStart < event.length) {
            int lineEnd = lineStart;
            while (lineEnd < event.length && event[lineEnd] != '\n') {
                lineEnd++;
            }
            if (isIdLine(event, lineStart, lineEnd)) {
                return parseId(event, lineStart + ID_FIELD.length, lineEnd);
            }
            lineStart = lineEnd + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean isIdLine(byte[] event, int from, int to) {
        if (to - from < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (event[from + i] != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private static OptionalLong parseId(byte[] event, int from, int to) {
        String text = new String(event, from, to - from, StandardCharsets.US_ASCII).trim();
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
