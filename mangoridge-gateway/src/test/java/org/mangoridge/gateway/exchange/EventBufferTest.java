package org.mangoridge.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.StreamAllowance;
import org.mangoridge.gateway.net.BufferMemory;

import static com.google.common.truth.Truth.assertThat;

class EventBufferTest {

    private static final int PART_BYTES = 64;
    private static final int MAX_READS_PER_BYTE = 3;

    private static final StreamAllowance ALLOWANCE = new StreamAllowance(100, 1 << 19);

    private static final HostPort PEER = new HostPort("127.0.0.1", 1);
    private static final BufferMemory MEMORY =
            BufferMemory.of(1 << 30, Runnable::run, (peer, bytes, peerBytes, usedBytes) -> {});

    private final EventBuffer buffer = EventBuffer.of(ALLOWANCE, MEMORY, PEER, () -> {});

    private List<EventBuffer.Event> add(String text) {
        return buffer.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Test
    void returnsEventsOnlyWhenComplete() {
        assertThat(add("id: 1\ndata: a")).isEmpty();
        assertThat(buffer.hasPartial()).isTrue();
        List<EventBuffer.Event> events = add("b\n\nid: 2\ndata: c\n\nid");
        assertThat(events).hasSize(2);
        assertThat(events.get(0).id().getAsLong()).isEqualTo(1);
        assertThat(new String(events.get(0).bytes(), StandardCharsets.UTF_8)).isEqualTo("id: 1\ndata: ab\n\n");
        assertThat(events.get(1).id().getAsLong()).isEqualTo(2);
        assertThat(buffer.hasPartial()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 7\r\ndata: x\r\n\r\n", "weight-versions: 2\nid: 7\ndata: x\n\n", "id:7\n\n"})
    void parsesIdWithAnyLineEndingAndPosition(String text) {
        assertThat(add(text).get(0).id().getAsLong()).isEqualTo(7);
    }

    @Test
    void returnsEventsWithoutId() {
        assertThat(add("data: x\n\n").get(0).id().isEmpty()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n\n", "\r\n\r\n"})
    void findsEndOfEventThatIsSplitAnywhere(String end) {
        String event = "id: 1\ndata: x" + end;
        for (int split = 1; split < event.length(); split++) {
            assertThat(add(event.substring(0, split))).isEmpty();
            assertThat(add(event.substring(split))).hasSize(1);
            assertThat(buffer.hasPartial()).isFalse();
        }
    }

    /** An answer without the end of an event held the event loop: each part of it was searched from its first byte. */
    @Test
    void bytesWithoutEndOfEventAreSearchedOnce() {
        CountingBuffer pending = new CountingBuffer();
        EventBuffer counted = EventBuffer.over(pending, ALLOWANCE, MEMORY, PEER, () -> {});
        int parts = 4096;
        for (int i = 0; i < parts; i++) {
            assertThat(counted.add(Unpooled.copiedBuffer("x".repeat(PART_BYTES), StandardCharsets.UTF_8)))
                    .isEmpty();
        }
        assertThat(pending.bytesRead).isAtMost((long) MAX_READS_PER_BYTE * parts * PART_BYTES);
    }

    /** Blank lines without end held the event loop: each was passed on, and written to the caller, by itself. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", ": comment\n\n", "\n: comment\r\n\r\n"})
    void blankLinesAndCommentsArePassedOnTogether(String separator) {
        String separators = separator.repeat(1000);
        List<EventBuffer.Event> events = add(separators + "id: 1\n\n" + separators + "id: 2\nda");
        assertThat(events).hasSize(2);
        assertThat(text(events.get(0))).isEqualTo(separators + "id: 1\n\n");
        assertThat(events.get(0).id().getAsLong()).isEqualTo(1);
        assertThat(text(events.get(1))).isEqualTo(separators);
        assertThat(events.get(1).id().isEmpty()).isTrue();
        assertThat(text(add("ta: x\n\n").get(0))).isEqualTo("id: 2\ndata: x\n\n");
        assertThat(buffer.hasPartial()).isFalse();
    }

    private static String text(EventBuffer.Event event) {
        return new String(event.bytes(), StandardCharsets.UTF_8);
    }

    @Test
    void returnsNoMoreEventsThanAllowed() {
        assertThat(add("data: x\n\n".repeat(100))).hasSize(100);
        assertThat(buffer.exceededBound().isEmpty()).isTrue();
        assertThat(add("data: x\n\n".repeat(1000))).isEmpty();
        assertThat(buffer.exceededBound().isPresent()).isTrue();
    }

    @Test
    void countsBytesOfBlankLines() {
        add("\n".repeat(1 << 19));
        assertThat(buffer.exceededBound().isEmpty()).isTrue();
        add("\n");
        assertThat(buffer.exceededBound().isPresent()).isTrue();
    }

    /** Counts how often a byte is looked at. */
    private static final class CountingBuffer extends UnpooledHeapByteBuf {

        private long bytesRead;

        CountingBuffer() {
            super(UnpooledByteBufAllocator.DEFAULT, 512, Integer.MAX_VALUE);
        }

        @Override
        protected byte _getByte(int index) {
            bytesRead++;
            return super._getByte(index);
        }
    }
}
