package org.mangoridge.cli.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mangoridge.http.HttpLines;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** What becomes of the requests of an instance that is killed or paused. */
class LostInstanceTest {

    private static final Duration FREED_BOUND = Duration.ofSeconds(10);
    private static final int LONG_ANSWER_TOKENS = 1500;
    private static final int ANSWER_TOKENS = 150;

    @TempDir
    private Path folder;

    @Test
    void aKilledInstanceHoldsNothingAfterTheBound() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder, 3, "")) {
            ServeProcess victim = fleet.instances.get(0);
            try (HttpLines one = fleet.stream(victim, LONG_ANSWER_TOKENS);
                    HttpLines two = fleet.stream(victim, LONG_ANSWER_TOKENS)) {
                fleet.awaitTrue("both hold slots", () -> fleet.engine.slotsUsed() == 2);
                victim.signal("KILL");
                Duration freed = fleet.awaitTrue("all is freed", () -> fleet.engine.slotsUsed() == 0);
                System.out.println("killed-instance freed after " + freed.toMillis() + " ms");
                assertThat(freed).isLessThan(FREED_BOUND);
            }
        }
    }

    @Test
    void aPausedInstanceThatReturnsGivesTheWholeAnswer() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder, 3, "")) {
            ServeProcess paused = fleet.instances.get(1);
            try (HttpLines stream = fleet.stream(paused, ANSWER_TOKENS)) {
                fleet.awaitTrue("it holds a slot", () -> fleet.engine.slotsUsed() == 1);
                paused.signal("STOP");
                fleet.awaitTrue("its slot is freed", () -> fleet.engine.slotsUsed() == 0);
                paused.signal("CONT");
                List<String> data = fleet.rest(stream);
                assertWithMessage("%s", data.get(data.size() - 1)).that(data).hasSize(ANSWER_TOKENS + 2);
                assertThat(data.get(data.size() - 1)).isEqualTo("data: [DONE]");
            }
        }
    }
}
