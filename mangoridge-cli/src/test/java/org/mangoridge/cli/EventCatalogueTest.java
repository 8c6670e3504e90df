package org.mangoridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.event.LogEvent;

import static com.google.common.truth.Truth.assertThat;

class EventCatalogueTest {

    private static final Path CATALOGUE = Path.of("..", "docs", "EVENTS.md");

    @Test
    void theCatalogueListsEveryEventOnceInOrder() throws IOException {
        List<String> rows = new ArrayList<>();
        for (String line : Files.readAllLines(CATALOGUE)) {
            if (line.startsWith("| MR-")) {
                String[] cells = line.split("\\|");
                rows.add(cells[1].trim() + " " + cells[2].trim() + " " + cells[3].trim());
                assertThat(cells[4].trim()).isNotEmpty();
            }
        }
        List<String> events = Arrays.stream(LogEvent.values())
                .map(event -> event.code() + " " + event.level() + " " + event.text())
                .toList();
        assertThat(rows).containsExactlyElementsIn(events).inOrder();
    }

    @Test
    void everyEventIsWrittenSomewhere() throws IOException {
        String sources = mainSources();
        List<String> unwritten = Arrays.stream(LogEvent.values())
                .map(event -> "LogEvent." + event.name())
                .filter(name -> !sources.contains(name))
                .toList();
        assertThat(unwritten).isEmpty();
    }

    private static String mainSources() throws IOException {
        StringBuilder sources = new StringBuilder();
        try (Stream<Path> paths = Files.walk(Path.of(".."))) {
            List<Path> files = paths.filter(path -> path.toString().matches(".*/src/main/java/.*[.]java"))
                    .filter(path -> !path.endsWith("LogEvent.java"))
                    .toList();
            for (Path file : files) {
                sources.append(Files.readString(file));
            }
        }
        return sources.toString();
    }
}
