package org.mangoridge.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.cli.command.ExitCode;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.settings.InstanceSettingsParser;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentFolder;
import org.mangoridge.settings.deployment.DeploymentParser;

import static com.google.common.truth.Truth.assertThat;

class ExamplesTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({
        "chalk-traders, draftroom, 6, orderdesk, 3, school-office, chalk-and-cheese-0001",
        "nyktomouseio, guide-llm, 10, booking-app, 3, school-trips, torches-off-at-ten",
    })
    void deploymentsHaveTheSizesOfTheirOwners(
            String name,
            String models,
            int modelServers,
            String plain,
            int plainServers,
            String caller,
            String secret) {
        Deployment deployment = DeploymentParser.parse(
                        DeploymentFolder.read(EXAMPLES.resolve(name).resolve("deployment"))
                                .value()
                                .sections())
                .value();
        assertThat(deployment.serversOf(ServiceId.of(models))).hasSize(modelServers);
        assertThat(deployment.serversOf(ServiceId.of(plain))).hasSize(plainServers);
        assertThat(deployment
                        .caller(CallerId.of(caller))
                        .orElseThrow()
                        .keyHash()
                        .matches(secret))
                .isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"chalk-traders", "nyktomouseio"})
    void everySettingsFileIsAccepted(String name) throws IOException {
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(name).resolve("instances"))) {
            for (Path file : files.toList()) {
                var settings = InstanceSettingsParser.parse(file.toString(), Files.readString(file));
                assertThat(settings.isOk() ? "" : settings.error().toString()).isEmpty();
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"chalk-traders, 0", "nowhere, 1"})
    void checkPrintsWhereValuesCameFrom(String name, int exitCode) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        String[] args = {"check", EXAMPLES.resolve(name).resolve("deployment").toString()};
        ExitCode code = Main.create().run(args, stream, stream);
        assertThat(code.code()).isEqualTo(exitCode);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains(exitCode == 0 ? "20-classes.ini:4" : "can't be read");
    }
}
