package org.mangoridge.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Splits the bytes of a server-sent event stream into complete events, so that callers never receive a partial one. */
final class EventBuffer {

    /** Maximum size of an event; engines never send larger ones. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    /** Length of the longest end of an event: a line break and an empty line with a carriage return. */
    private static final int MAX_TERMINATOR_BYTES = 3;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBuf pending;
    /** Number of pending bytes in which no event ends, so that the search continues behind them. */
    private int searchedBytes;

    /**
     * A complete event.
     *
     * @param bytes the bytes of the event, including the terminating blank line
     * @param id the numeric event id; empty if the event has none
     */
    record Event(byte[] bytes, OptionalLong id) {}

    private EventBuffer(ByteBuf pending) {
        this.pending = pending;
    }

    /** Returns an empty buffer. */
    static EventBuffer create() {
        return over(Unpooled.buffer(512));
    }

    /** Returns a buffer that keeps the bytes of an incomplete event in {@code pending}. */
    static EventBuffer over(ByteBuf pending) {
        return new EventBuffer(pending);
    }

    /** Appends data and returns the events that are now complete. */
    List<Event> add(ByteBuf data) {
        pending.writeBytes(data, data.readerIndex(), data.readableBytes());
        List<Event> events = new ArrayList<>();
        for (int length = lengthOfNextEvent(); length > 0; length = lengthOfNextEvent()) {
            byte[] bytes = new byte[length];
            pending.readBytes(bytes);
            searchedBytes = 0;
            events.add(new Event(bytes, idOf(bytes)));
        }
        pending.discardReadBytes();
        return events;
    }

    /** Returns whether the buffer contains part of an incomplete event. */
    boolean hasPartial() {
        return pending.isReadable();
    }

    /** Returns whether the incomplete event exceeds {@link #MAX_EVENT_BYTES}. */
    boolean overflows() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Discards the buffered data. */
    void clear() {
        pending.clear();
        searchedBytes = 0;
    }

    /** Returns the length of the next complete event with its blank line; -1 if there is none. */
    private int lengthOfNextEvent() {
        int start = pending.readerIndex();
        int end = pending.writerIndex();
        for (int at = start + searchedBytes; at + 1 < end; at++) {
            if (pending.getByte(at) != '\n') {
                continue;
            }
            if (pending.getByte(at + 1) == '\n') {
                return at + 2 - start;
            }
            if (at + 2 < end && pending.getByte(at + 1) == '\r' && pending.getByte(at + 2) == '\n') {
                return at + 3 - start;
            }
        }
        searchedBytes = Math.max(0, end - start - (MAX_TERMINATOR_BYTES - 1));
        return -1;
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
