package org.mangoridge.cli.process;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.http.HttpLineStream;

import static com.google.common.truth.Truth.assertThat;

/** Shutdowns of a real process. */
class ShutdownTest {

    private static final long EXIT_SECONDS = 30;
    private static final int TOKENS = 150;

    @TempDir
    private Path folder;

    @Test
    void aShutdownCutsNoRequestAndRefusesNewOnesTruly() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder, 2, "[drain]\nwait = 200ms\nlimit = 1min")) {
            ServeProcess leaving = fleet.instances.get(0);
            try (HttpLineStream stream = fleet.stream(leaving, TOKENS)) {
                leaving.signal("TERM");
                fleet.awaitTrue(
                        "readiness fails",
                        () -> !fleet.operator(leaving, "/ready").value().isSuccess());
                fleet.awaitTrue("it refuses", () -> {
                    try (HttpLineStream late = fleet.stream(leaving, 1)) {
                        return late.status() == 503
                                && late.headers().value("X-Verdict").orElse("").equals("not-run")
                                && late.headers().value("Connection").orElse("").equals("close");
                    }
                });
                List<String> data = fleet.rest(stream);
                assertThat(data).hasSize(TOKENS + 2);
                assertThat(data.get(data.size() - 1)).isEqualTo("data: [DONE]");
            }
            assertThat(leaving.awaitExit(EXIT_SECONDS)).isEqualTo(0);
            assertThat(fleet.engine.slotsUsed()).isEqualTo(0);
        }
    }

    @ParameterizedTest
    @CsvSource({"300ms, 1", "1min, 2"})
    void theLimitOrASecondSignalEndsRequestsWithAVerdict(String limit, int signals) throws Exception {
        try (ProcessFleet fleet = new ProcessFleet(folder, 2, "[drain]\nwait = 100ms\nlimit = " + limit)) {
            ServeProcess leaving = fleet.instances.get(0);
            try (HttpLineStream stream = fleet.stream(leaving, TOKENS)) {
                for (int i = 0; i < signals; i++) {
                    leaving.signal("TERM");
                    fleet.awaitTrue(
                            "readiness fails",
                            () -> !fleet.operator(leaving, "/ready").value().isSuccess());
                }
                List<String> data = fleet.rest(stream);
                assertThat(data.get(data.size() - 1)).contains("\"verdict\":\"ran\"");
            }
            assertThat(leaving.awaitExit(EXIT_SECONDS)).isEqualTo(1);
            fleet.awaitTrue("nothing is held", () -> fleet.engine.slotsUsed() == 0);
        }
    }
}
