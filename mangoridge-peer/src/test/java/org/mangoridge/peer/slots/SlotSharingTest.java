package org.mangoridge.peer.slots;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertWithMessage;

/** Compares strategies for sharing decode slots, and checks that granting credits gains little over gossip. */
class SlotSharingTest {

    private static final long SEED = 7;
    private static final double MAX_GOODPUT_GAIN = 0.05;

    @ParameterizedTest
    @CsvSource({"6, 6, 0.9", "6, 6, 1.05", "20, 20, 0.9", "20, 20, 1.05", "57, 60, 0.9", "57, 60, 1.05"})
    void creditsGainLittleOverGossipWhenSlotsAreReservedFirst(int instances, int servers, double load) {
        for (boolean reserveFirst : new boolean[] {false, true}) {
            for (SlotSharingModel.Strategy strategy : SlotSharingModel.Strategy.values()) {
                System.out.println(
                        run(strategy, reserveFirst, instances, servers, load).line());
            }
        }
        double gossip = run(SlotSharingModel.Strategy.GOSSIP, true, instances, servers, load)
                .goodput();
        double credits = run(SlotSharingModel.Strategy.CREDITS, true, instances, servers, load)
                .goodput();
        assertWithMessage("seed %s", SEED).that(credits - gossip).isLessThan(MAX_GOODPUT_GAIN);
    }

    private static SlotSharingModel run(
            SlotSharingModel.Strategy strategy, boolean reserveFirst, int instances, int servers, double load) {
        return new SlotSharingModel(strategy, reserveFirst, instances, servers, load, SEED).run();
    }
}
