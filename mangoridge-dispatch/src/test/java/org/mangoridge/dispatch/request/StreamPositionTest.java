package org.mangoridge.dispatch.request;

import java.util.Arrays;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.dispatch.request.StreamPosition.Order;

import static com.google.common.truth.Truth.assertThat;

class StreamPositionTest {

    private static StreamPosition afterEvents(String ids) {
        StreamPosition position = StreamPosition.after(OptionalLong.empty());
        Arrays.stream(ids.split(" ")).mapToLong(Long::parseLong).forEach(id -> {
            assertThat(position.judge(OptionalLong.of(id), false)).isEqualTo(Order.NEXT);
            position.recordDelivered(OptionalLong.of(id));
        });
        return position;
    }

    /** Where another server goes on, its first event must be the next one. */
    @ParameterizedTest
    @CsvSource({"1, 2, NEXT", "1, 3, BROKEN", "1 2 3, 4, NEXT", "1 2 3, 3, REPEATED", "1 2 3, 1, BROKEN"})
    void anotherServerGoesOnAfterTheLastEvent(String ids, long next, Order order) {
        assertThat(afterEvents(ids).judge(OptionalLong.of(next), true)).isEqualTo(order);
    }

    /** The caller of a resumed request knows which events it has; those that come again are left out. */
    @Test
    void aResumedRequestLeavesOutWhatItsCallerHas() {
        StreamPosition position = StreamPosition.after(OptionalLong.of(5));
        assertThat(position.judge(OptionalLong.of(4), false)).isEqualTo(Order.REPEATED);
        assertThat(position.judge(OptionalLong.of(5), false)).isEqualTo(Order.REPEATED);
        assertThat(position.judge(OptionalLong.of(6), false)).isEqualTo(Order.NEXT);
    }

    /** A stream whose last event has no id was resumed from its start, which joined pieces of two runs. */
    @Test
    void aStreamWithoutAnIdAtItsEndCannotBeResumed() {
        StreamPosition position = StreamPosition.after(OptionalLong.empty());
        assertThat(position.canResume()).isTrue();
        position.recordDelivered(OptionalLong.empty());
        assertThat(position.canResume()).isFalse();
        position.recordDelivered(OptionalLong.of(1));
        assertThat(position.canResume()).isTrue();
        assertThat(position.judge(OptionalLong.empty(), true)).isEqualTo(Order.BROKEN);
    }

    @Test
    void anEventThatHadBegunIsExpectedUntilItIsDelivered() {
        StreamPosition position = afterEvents("1");
        position.recordBegunEvent();
        assertThat(position.expectsMore()).isTrue();
        position.recordDelivered(OptionalLong.of(2));
        assertThat(position.expectsMore()).isFalse();
    }
}
