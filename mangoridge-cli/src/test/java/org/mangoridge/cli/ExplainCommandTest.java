package org.mangoridge.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mangoridge.cli.command.ExitCode;

import static com.google.common.truth.Truth.assertThat;

class ExplainCommandTest {

    /** Lines of a run on the users' bench; the ids are those of the run. */
    private static final String FIRST = """
            {"time":"2026-04-09T14:31:52.224Z","instance":"a-1","code":"MR-204","event":"request placed",\
            "request":"5efb","age_ms":1955,"server":"i-01","server_kv":20335}
            {"time":"2026-04-09T14:31:52.000Z","instance":"a-1","code":"MR-204","event":"request placed","request":"other"}
            """;

    private static final String SECOND = """
            {"time":"2026-04-09T14:31:50.271Z","instance":"b-1","code":"MR-205","event":"request waiting",\
            "request":"5efb","waiting":1}
            {"time":"2026-04-09T14:31:59.0
            """;

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode explain(String request) throws IOException {
        Path first = Files.writeString(folder.resolve("first"), FIRST);
        Path second = Files.writeString(folder.resolve("second"), SECOND);
        String[] line = {"explain", request, first.toString(), second.toString()};
        return Main.create().run(line, new PrintStream(out, true), new PrintStream(err, true));
    }

    @Test
    void linesOfAllInstancesAreToldInOrderOfTime() throws IOException {
        assertThat(explain("5efb")).isEqualTo(ExitCode.DONE);
        assertThat(out.toString(StandardCharsets.UTF_8))
                .isEqualTo("2026-04-09T14:31:50.271Z  b-1  MR-205 request waiting waiting=1\n"
                        + "2026-04-09T14:31:52.224Z  a-1  MR-204 request placed age_ms=1955 server=i-01"
                        + " server_kv=20335\n");
    }

    @Test
    void aRequestThatNobodyNamesIsAnError() throws IOException {
        assertThat(explain("unknown")).isEqualTo(ExitCode.FAILED);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("no line names request unknown");
    }
}
