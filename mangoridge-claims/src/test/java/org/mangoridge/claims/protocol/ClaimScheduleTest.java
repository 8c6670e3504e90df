package org.mangoridge.claims.protocol;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/** Drives the machine through random fault schedules; more with {@code -Dmangoridge.schedules=N}. */
class ClaimScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("mangoridge.schedules", 10_000);
    private static final long FIRST_SEED = Long.getLong("mangoridge.seed", 1);

    @Test
    void noScheduleBreaksAProperty() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            List<String> wrong = new ClaimSimulation(seed).run();
            assertWithMessage("seed %s (-Dmangoridge.schedules=1 -Dmangoridge.seed=%s)", seed, seed)
                    .that(wrong)
                    .isEmpty();
        }
    }
}
