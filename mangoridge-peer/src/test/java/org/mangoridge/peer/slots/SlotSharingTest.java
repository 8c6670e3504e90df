package org.mangoridge.peer.slots;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertWithMessage;

/** Prints what each way of sharing slots comes to, and holds to what the choice rests on. */
class SlotSharingTest {

    private static final long SEED = 7;
    private static final double CLEAR_GAIN = 0.05;

    @ParameterizedTest
    @CsvSource({"6, 6, 0.9", "6, 6, 1.05", "20, 20, 0.9", "20, 20, 1.05", "57, 60, 0.9", "57, 60, 1.05"})
    void creditsGainLittleOverGossipWhenSlotsAreReservedFirst(int instances, int servers, double load) {
        for (boolean reserveFirst : new boolean[] {false, true}) {
            for (SlotSharingModel.Way way : SlotSharingModel.Way.values()) {
                System.out.println(
                        run(way, reserveFirst, instances, servers, load).line());
            }
        }
        double gossip =
                run(SlotSharingModel.Way.GOSSIP, true, instances, servers, load).goodput();
        double credits = run(SlotSharingModel.Way.CREDITS, true, instances, servers, load)
                .goodput();
        assertWithMessage("seed %s", SEED).that(credits - gossip).isLessThan(CLEAR_GAIN);
    }

    private static SlotSharingModel run(
            SlotSharingModel.Way way, boolean reserveFirst, int instances, int servers, double load) {
        return new SlotSharingModel(way, reserveFirst, instances, servers, load, SEED).run();
    }
}
