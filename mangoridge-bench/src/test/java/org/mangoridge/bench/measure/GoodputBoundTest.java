package org.mangoridge.bench.measure;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class GoodputBoundTest {

    static Stream<Arguments> cases() {
        Capacity capacity = new Capacity(100, 1000, 10_000);
        return Stream.of(
                arguments("all fit", capacity, List.of(needs(3, 10, 100, 100), needs(3, 10, 100, 100)), List.of(3, 3)),
                arguments("slots are short", capacity, List.of(needs(20, 10, 1, 1)), List.of(10)),
                arguments("prefill is short", capacity, List.of(needs(20, 1, 300, 1)), List.of(3)),
                arguments("links are short", capacity, List.of(needs(20, 1, 1, 4000)), List.of(2)),
                arguments(
                        "the first class comes first",
                        capacity,
                        List.of(needs(8, 10, 1, 1), needs(8, 10, 1, 1)),
                        List.of(8, 2)),
                arguments(
                        "the least needs fit first",
                        capacity,
                        List.of(List.of(new Need(90, 1, 1), new Need(20, 1, 1), new Need(60, 1, 1))),
                        List.of(2)),
                arguments("nothing fits", new Capacity(0, 0, 0), List.of(needs(2, 1, 1, 1)), List.of(0)),
                arguments("nothing came", capacity, List.of(List.of()), List.of(0)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void isTheMostThatFits(String name, Capacity capacity, List<List<Need>> classes, List<Integer> expected) {
        assertThat(GoodputBound.of(capacity, classes)).isEqualTo(expected);
    }

    private static List<Need> needs(int count, double output, double prefill, double link) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Need(output, prefill, link))
                .toList();
    }
}
