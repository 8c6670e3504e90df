package org.mangoridge.claims.protocol;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/** Runs {@link ClaimMachine} through seeded random fault schedules; {@code -Dmangoridge.schedules=N} sets their number. */
class ClaimScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("mangoridge.schedules", 10_000);
    private static final long FIRST_SEED = Long.getLong("mangoridge.seed", 1);

    @Test
    void noFaultScheduleViolatesAProperty() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            List<String> violations = new ClaimSimulation(seed).run();
            assertWithMessage("seed %s (-Dmangoridge.schedules=1 -Dmangoridge.seed=%s)", seed, seed)
                    .that(violations)
                    .isEmpty();
        }
    }
}
