package org.mangoridge.cli.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.ModelEngine;
import org.mangoridge.engine.http.HttpModelEngine;
import org.mangoridge.http.HttpLineStream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** What becomes of the requests of an instance that is killed or paused. */
class LostInstanceTest {

    private static final Duration CALL_LIMIT = Duration.ofSeconds(10);
    private static final Duration FREED_BOUND = Duration.ofSeconds(10);
    private static final int LONG_MILLIS = 600_000;
    private static final int ANSWER_TOKENS = 150;

    @TempDir
    private Path folder;

    /** An engine frees a stream whose connection broke by itself; a reservation waits for nobody to come back. */
    @Test
    void aKilledInstanceHoldsNothingAfterTheBound() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder, 3, "")) {
            ServeProcess victim = fleet.instances.get(0);
            ModelEngine engine = HttpModelEngine.create(fleet.transport, fleet.engine.address());
            long run = fleet.incarnation(victim);
            long otherRun = fleet.incarnation(fleet.instances.get(1));
            engine.reserve(
                    new EngineMessages.ReserveRequest("lost.1", "entry-0", run, 100, LONG_MILLIS, 0), CALL_LIMIT);
            engine.reserve(
                    new EngineMessages.ReserveRequest("kept.1", "entry-0", run + 1, 100, LONG_MILLIS, 0), CALL_LIMIT);
            engine.reserve(
                    new EngineMessages.ReserveRequest("other.1", "entry-1", otherRun, 100, LONG_MILLIS, 0), CALL_LIMIT);
            try (HttpLineStream stream = fleet.stream(victim, ANSWER_TOKENS)) {
                fleet.awaitTrue("all hold slots", () -> fleet.engine.slotsUsed() == 4);
                victim.signal("KILL");
                Duration freed = fleet.awaitTrue("the dead run holds nothing", () -> fleet.engine.slotsUsed() == 2);
                System.out.println("killed-instance freed after " + freed.toMillis() + " ms");
                assertThat(freed).isLessThan(FREED_BOUND);
            }
            fleet.awaitTrue("the status of the others leaves it out", () -> !statusHasPeer(fleet, "entry-0"));
            assertThat(statusHasPeer(fleet, "entry-2")).isTrue();
            assertThat(engine.heldAttempts(InstanceId.of("entry-0")).value()).hasSize(1);
            assertThat(engine.heldAttempts(InstanceId.of("entry-1")).value()).hasSize(1);
        }
    }

    /** Tells whether the second instance lists a peer; the source of its configuration names one too. */
    private static boolean statusHasPeer(ProcessFleet fleet, String peer) {
        String status =
                fleet.operator(fleet.instances.get(1), "/status").value().text();
        return status.contains("\"instance\":\"" + peer + "\"");
    }

    @Test
    void aPausedInstanceThatReturnsGivesTheWholeAnswer() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder, 3, "")) {
            ServeProcess paused = fleet.instances.get(1);
            try (HttpLineStream stream = fleet.stream(paused, ANSWER_TOKENS)) {
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
