package org.mangoridge.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class EventBufferTest {

    private final EventBuffer buffer = new EventBuffer();

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
}
