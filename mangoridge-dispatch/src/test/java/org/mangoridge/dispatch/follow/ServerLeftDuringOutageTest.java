package org.mangoridge.dispatch.follow;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertWithMessage;

class ServerLeftDuringOutageTest {

    private static final int SEEDS = 200;

    /** Guards against incident sleepover-2: requests reached a server 12 s after it had left behind a partition. */
    @ParameterizedTest
    @EnumSource
    void aServerThatLeftDuringAnOutageIsNotChosenOnceTheStoreIsInReach(StoreOutageSimulation.Outage outage) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            StoreOutageSimulation simulation = new StoreOutageSimulation(outage, seed);
            simulation.run();
            assertWithMessage("seed %s", seed)
                    .that(simulation.leavingServerUsedFor())
                    .isLessThan(StoreOutageSimulation.CONTACT_BOUND);
        }
    }

    /** The other side: a server whose entry expired in the outage goes on, since it writes its entry again. */
    @ParameterizedTest
    @EnumSource
    void aServerThatStaysIsUsedThroughoutTheOutage(StoreOutageSimulation.Outage outage) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            StoreOutageSimulation simulation = new StoreOutageSimulation(outage, seed);
            simulation.run();
            assertWithMessage("seed %s", seed).that(simulation.falselyRemoved()).isEmpty();
        }
    }
}
