package org.mangoridge.bench.slope;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SlopeTest {

    @Test
    void aLineGivesItsOwnSlope() {
        Slope slope = new Slope(
                "cost", "size", List.of(new Slope.Point(1, 7), new Slope.Point(2, 9), new Slope.Point(4, 13)));
        assertThat(slope.perUnit()).isWithin(1e-9).of(2);
        assertThat(slope.atZero()).isWithin(1e-9).of(5);
    }
}
