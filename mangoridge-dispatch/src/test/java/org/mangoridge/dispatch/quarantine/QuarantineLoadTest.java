package org.mangoridge.dispatch.quarantine;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertWithMessage;

/** Several parts and requests that crash servers at once, between sound requests with the same first parts. */
class QuarantineLoadTest {

    private static final int STRAYS_ALLOWED = 3;
    /** Sound requests must begin at least half as often as usual. */
    private static final double SOUND_REFUSED_ALLOWED = 0.5;

    /** Guards against incidents order-desk-2 and order-desk-4, at other sizes, with restarts and cuts in between. */
    @ParameterizedTest
    @CsvSource({
        // seeds, instances, servers, crashing parts, crashing requests, requests per second, crashing share, restarts,
        // random crashes
        "1-20, 6, 6, 1, 0, 7, 0.4, 0, 0",
        "1-20, 6, 6, 1, 0, 7, 0.4, 6, 10",
        "1-20, 7, 10, 3, 0, 12, 0.3, 6, 10",
        "1-2, 30, 40, 5, 0, 60, 0.2, 20, 30",
        "1-2, 30, 40, 5, 0, 60, 0.02, 20, 30",
        "1-20, 6, 6, 0, 1, 7, 0.4, 6, 10",
        "1-12, 6, 6, 0, 4, 20, 0.1, 6, 10",
        "14-20, 6, 6, 0, 4, 20, 0.1, 6, 10",
        "1-20, 7, 10, 2, 2, 12, 0.3, 6, 10",
        "1-2, 30, 40, 3, 6, 60, 0.2, 20, 30",
        "1-2, 30, 40, 3, 6, 60, 0.02, 20, 30"
    })
    void crashesStopAndSoundRequestsGoOn(
            String seeds,
            int instances,
            int servers,
            int crashingParts,
            int crashingRequests,
            int requestsPerSecond,
            double crashingShare,
            int restarts,
            int randomCrashes) {
        QuarantineSimulation.Load load = new QuarantineSimulation.Load(
                instances,
                servers,
                crashingParts,
                crashingRequests,
                requestsPerSecond,
                crashingShare,
                restarts,
                randomCrashes);
        String[] range = seeds.split("-");
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            assertCrashesStop(load, seed);
        }
    }

    /** Seed 13 of the case of four crashing requests, which stands in KNOWN-RED.txt. */
    @Test
    void crashesOfFourRequestsStopForSeedThirteen() {
        assertCrashesStop(new QuarantineSimulation.Load(6, 6, 0, 4, 20, 0.1, 6, 10), 13);
    }

    private static void assertCrashesStop(QuarantineSimulation.Load load, long seed) {
        QuarantineSimulation simulation = new QuarantineSimulation(load, seed);
        simulation.run();
        assertWithMessage("strays, seed %s", seed).that(simulation.mostStrays()).isAtMost(STRAYS_ALLOWED);
        assertWithMessage("share of sound requests refused, seed %s", seed)
                .that(simulation.soundRefusedShare())
                .isLessThan(SOUND_REFUSED_ALLOWED);
    }
}
