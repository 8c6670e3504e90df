package org.mangoridge.cli.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.http.HttpModelEngine;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.standin.engine.EngineFaults;
import org.mangoridge.standin.engine.EngineStandIn;

import static com.google.common.truth.Truth.assertThat;

/** Engines fail and callers go while real requests run. */
class EngineFailureTest {

    private static final int TOKENS = 40;
    private static final String PROMPT = "Summarise the tender. ".repeat(40);

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("dead", EngineFaults.crash()),
                Arguments.of("stalled", EngineFaults.stall()),
                Arguments.of("silent", EngineFaults.silence()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void brokenStreamGoesOnElsewhereWithEachTokenOnce(String name, EngineFaults fault) throws Exception {
        try (ServingFixture system = new ServingFixture(1, "prefill", "decode", "decode")) {
            List<String> whole = new ArrayList<>();
            try (HttpLineStream lines = system.open(PROMPT, TOKENS)) {
                read(lines, whole, Integer.MAX_VALUE);
            }
            List<String> interrupted = new ArrayList<>();
            try (HttpLineStream lines = system.open(PROMPT, TOKENS)) {
                read(lines, interrupted, 5);
                EngineStandIn failing = system.decoding();
                failing.injectFaults(fault);
                read(lines, interrupted, Integer.MAX_VALUE);
                failing.injectFaults(EngineFaults.none());
            }
            assertThat(whole.size()).isAtLeast(16);
            assertThat(interrupted).isEqualTo(whole);
            awaitNothingHeld(system);
        }
    }

    @Test
    void callerThatGoesDuringDecodeReleasesSlotAndMemory() throws Exception {
        try (ServingFixture system = new ServingFixture(2, "prefill", "decode")) {
            try (HttpLineStream lines = system.open(PROMPT, TOKENS)) {
                read(lines, new ArrayList<>(), 2);
                assertThat(system.decoding().slotsUsed()).isEqualTo(1);
            }
            awaitNothingHeld(system);
        }
    }

    @Test
    void callerThatGoesDuringPrefillReleasesTheReservation() throws Exception {
        try (ServingFixture system = new ServingFixture(3, "prefill", "decode")) {
            system.engine("prefill-0").injectFaults(EngineFaults.stall());
            Thread caller =
                    Thread.ofVirtual().start(() -> system.transport().openStream(system.completion(PROMPT, TOKENS)));
            system.await("a reservation", () -> system.engine("decode-1").slotsUsed() == 1);
            HttpModelEngine decode = HttpModelEngine.create(
                    system.transport(), system.engine("decode-1").address());
            String attempt =
                    decode.heldAttempts(InstanceId.of("entry-1")).value().get(0).attempt();
            caller.interrupt();
            awaitNothingHeld(system);
            assertThat(reserveAgain(decode, attempt)).isInstanceOf(EngineError.Cancelled.class);
            system.engine("prefill-0").injectFaults(EngineFaults.none());
        }
    }

    /** Tells a cancelled attempt from one whose reservation expired. */
    private static EngineError reserveAgain(HttpModelEngine engine, String attempt) {
        EngineMessages.ReserveRequest again = new EngineMessages.ReserveRequest(attempt, "entry-1", 1, 100, 1000, 0);
        return engine.reserve(again, ServingFixture.TIMEOUT).error();
    }

    private static void awaitNothingHeld(ServingFixture system) {
        for (EngineStandIn engine : system.engines()) {
            system.await("a release", () -> engine.slotsUsed() == 0);
        }
    }

    /** Reads at most {@code most} pieces of text. */
    private static void read(HttpLineStream lines, List<String> pieces, int most) {
        int count = 0;
        while (count < most) {
            Optional<String> line = lines.nextLine(ServingFixture.TIMEOUT).value();
            if (line.isEmpty() || line.get().endsWith("[DONE]")) {
                return;
            }
            if (line.get().startsWith("data: {")) {
                pieces.add(textOf(line.get()));
                count++;
            }
        }
    }

    /** Leaves out what differs between requests. */
    private static String textOf(String event) {
        int start = event.indexOf("\"choices\"");
        return start < 0 ? event : event.substring(start);
    }
}
