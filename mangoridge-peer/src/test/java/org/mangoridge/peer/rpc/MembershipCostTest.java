package org.mangoridge.peer.rpc;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.peer.membership.FleetCost;

import static com.google.common.truth.Truth.assertWithMessage;

/** Bounds the traffic and the detection time of gossip membership, and prints both next to those of alternatives. */
class MembershipCostTest {

    private static final int MAX_BYTES_PER_SECOND = 14_000;
    private static final double MAX_DETECTION_SECONDS = 3;

    @ParameterizedTest
    @CsvSource({"7, 3", "7, 1", "60, 1", "342, 6"})
    void trafficAndDetectionTimeStayWithinTheirBounds(int size, int zones) {
        FleetCost cost = FleetCost.measure(1, size, zones, WireSize::of, SystemClock.instance());
        System.out.println(cost.line());
        System.out.println(FleetCost.allToAllLine(size, WireSize.of(FleetCost.heartbeat())));
        System.out.println(FleetCost.relayLine(size, WireSize.of(FleetCost.heartbeat())));
        assertWithMessage(cost.line()).that(cost.bytesPerSecond()).isLessThan(MAX_BYTES_PER_SECOND);
        assertWithMessage(cost.line()).that(cost.slowestDetectionSeconds()).isAtMost(MAX_DETECTION_SECONDS);
    }
}
