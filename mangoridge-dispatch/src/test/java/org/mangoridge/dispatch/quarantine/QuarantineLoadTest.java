package org.mangoridge.dispatch.quarantine;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertWithMessage;

/** Several parts that crash servers at once, between sound requests with the same first parts. */
class QuarantineLoadTest {

    private static final int STRAYS_ALLOWED = 3;
    /** Sound requests must begin at least half as often as usual. */
    private static final double SOUND_REFUSED_ALLOWED = 0.5;

    /** Guards against incident order-desk-2, at other sizes and with restarts and cuts between the crashes. */
    @ParameterizedTest
    @CsvSource({
        "20, 6, 6, 1, 7, 0.4, 0, 0",
        "20, 6, 6, 1, 7, 0.4, 6, 10",
        "20, 7, 10, 3, 12, 0.3, 6, 10",
        "2, 30, 40, 5, 60, 0.2, 20, 30",
        "2, 30, 40, 5, 60, 0.02, 20, 30"
    })
    void crashesStopAndSoundRequestsGoOn(
            int seeds,
            int instances,
            int servers,
            int crashingParts,
            int requestsPerSecond,
            double crashingShare,
            int restarts,
            int randomCrashes) {
        QuarantineSimulation.Load load = new QuarantineSimulation.Load(
                instances, servers, crashingParts, requestsPerSecond, crashingShare, restarts, randomCrashes);
        for (long seed = 1; seed <= seeds; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(load, seed);
            simulation.run();
            assertWithMessage("strays, seed %s", seed)
                    .that(simulation.mostStrays())
                    .isAtMost(STRAYS_ALLOWED);
            assertWithMessage("share of sound requests refused, seed %s", seed)
                    .that(simulation.soundRefusedShare())
                    .isLessThan(SOUND_REFUSED_ALLOWED);
        }
    }
}
