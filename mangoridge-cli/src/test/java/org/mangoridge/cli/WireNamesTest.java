package org.mangoridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** The names that the users' platform gives its header fields, keys and paths stand in the adapter only. */
class WireNamesTest {

    private static final Path ROOT = Path.of("..");
    private static final String ADAPTER = "platform";
    /** The adapter only translates; beyond this size it is likely to decide something. */
    private static final int MAX_ADAPTER_LINES = 1500;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Request-Id",
                "Deadline-Ms",
                "Token-Usage",
                "Prefix-Hash",
                "Length-Hint",
                "Response-Signature",
                "Not-Executed",
                "Server-Limit",
                "Expected-Instance",
                "Kv-Source",
                "kv_handle",
                "kv-handle",
                "path_prefix",
                "target_latency_ms",
                "gap_target_ms",
                "health_path",
                "max_conns",
                "as_of",
                "has_more",
                "cold_left_ms",
                "MANGORIDGE_BOOT",
                "port_range",
                "retry_budget_ratio"
            })
    void aNameOfThePlatformStandsInTheAdapterOnly(String name) throws IOException {
        List<Path> users = mainSources().stream()
                .filter(path -> !inAdapter(path))
                .filter(path -> read(path).contains("\"" + name))
                .toList();
        assertThat(users).isEmpty();
    }

    @Test
    void theAdapterIsSmall() throws IOException {
        long lines = mainSources().stream()
                .filter(WireNamesTest::inAdapter)
                .mapToLong(path -> read(path).lines().count())
                .sum();
        System.out.println("adapter: " + lines + " lines");
        assertThat(lines).isAtMost(MAX_ADAPTER_LINES);
    }

    private static boolean inAdapter(Path path) {
        return ROOT.relativize(path).startsWith(ADAPTER);
    }

    private static List<Path> mainSources() throws IOException {
        try (Stream<Path> paths = Files.walk(ROOT)) {
            return paths.filter(path -> path.toString().matches(".*/src/main/java/.*[.]java"))
                    .toList();
        }
    }

    private static String read(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw new IllegalStateException(path + " can't be read", e);
        }
    }
}
