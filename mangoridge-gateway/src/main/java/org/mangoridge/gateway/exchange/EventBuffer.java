package org.mangoridge.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Splits the bytes of an event stream into whole events, so that a broken one never reaches a caller. */
final class EventBuffer {

    /** An event larger than this is not one of an engine. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBuf pending = Unpooled.buffer(512);

    /**
     * One whole event.
     *
     * @param bytes the event with the blank line that ends it
     * @param id its number; empty if it has none
     */
    record Event(byte[] bytes, OptionalLong id) {}

    /** Adds bytes and returns the events that they complete. */
    List<Event> add(ByteBuf data) {
        pending.writeBytes(data, data.readerIndex(), data.readableBytes());
        List<Event> events = new ArrayList<>();
        for (int end = endOfEvent(); end > 0; end = endOfEvent()) {
            byte[] bytes = new byte[end];
            pending.readBytes(bytes);
            events.add(new Event(bytes, idOf(bytes)));
        }
        pending.discardReadBytes();
        return events;
    }

    /** Tells whether bytes of an event that is not complete are held. */
    boolean hasPartial() {
        return pending.isReadable();
    }

    /** Tells whether the event that is collected is too large to be one. */
    boolean overflows() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Drops what is held. */
    void clear() {
        pending.clear();
    }

    private int endOfEvent() {
        int start = pending.readerIndex();
        int end = pending.writerIndex();
        for (int at = start; at + 1 < end; at++) {
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
        return -1;
    }

    private static OptionalLong idOf(byte[] event) {
        int lineStart = 0;
        while (lineStart < event.length) {
            int lineEnd = lineStart;
            while (lineEnd < event.length && event[lineEnd] != '\n') {
                lineEnd++;
            }
            if (startsWith(event, lineStart, lineEnd)) {
                return number(event, lineStart + ID_FIELD.length, lineEnd);
            }
            lineStart = lineEnd + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean startsWith(byte[] event, int from, int to) {
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

    private static OptionalLong number(byte[] event, int from, int to) {
        String text = new String(event, from, to - from, StandardCharsets.US_ASCII).trim();
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
