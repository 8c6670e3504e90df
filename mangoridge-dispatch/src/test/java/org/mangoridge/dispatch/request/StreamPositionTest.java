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

    /** Ids that rise by more than one were taken for a missing event, and a sound stream was cut. */
    @ParameterizedTest
    @CsvSource({
        "1 2 3,      4, NEXT",
        "1 2 3,      9, NEXT",
        "1 2 3,      3, REPEATED",
        "1 2 3,      2, BROKEN",
        "10 20 30, 100, NEXT"
    })
    void eventsOfOneAnswerHaveIncreasingIds(String ids, long next, Order order) {
        assertThat(afterEvents(ids).judge(OptionalLong.of(next), false)).isEqualTo(order);
    }

    /** A piece that is missing where another server goes on must not be passed on as if the stream were whole. */
    @ParameterizedTest
    @CsvSource({
        "1,          2, NEXT",
        "1,          3, BROKEN",
        "1 2 3,      4, NEXT",
        "1 2 3,      5, BROKEN",
        "1 2 3,      3, REPEATED",
        "1 2 3,      1, BROKEN",
        "10 20 30,  40, NEXT",
        "10 20 30,  50, BROKEN",
        "1 4 6,      9, NEXT",
        "1 4 6,     10, BROKEN"
    })
    void anotherServerGoesOnNoFurtherAheadThanTheStreamEverStepped(String ids, long next, Order order) {
        assertThat(afterEvents(ids).judge(OptionalLong.of(next), true)).isEqualTo(order);
    }

    /** The caller of a resumed request knows which events it has; those that come again are left out. */
    @Test
    void aResumedRequestLeavesOutWhatItsCallerHas() {
        StreamPosition position = StreamPosition.after(OptionalLong.of(5));
        assertThat(position.judge(OptionalLong.of(4), false)).isEqualTo(Order.REPEATED);
        assertThat(position.judge(OptionalLong.of(5), false)).isEqualTo(Order.REPEATED);
        assertThat(position.judge(OptionalLong.of(7), false)).isEqualTo(Order.NEXT);
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
