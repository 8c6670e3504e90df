package org.mangoridge.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Reads the rows of tables in the operators' pages. */
public final class HandbookTable {

    private static final Path PAGES = Path.of("..", "docs", "operations");

    private HandbookTable() {}

    /** Returns the cells of each row of {@code page} that starts with {@code start}, in the order of the page. */
    public static List<List<String>> rows(String page, String start) {
        try {
            return Files.readAllLines(PAGES.resolve(page)).stream()
                    .filter(line -> line.startsWith(start))
                    .map(HandbookTable::cells)
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> cells(String line) {
        return Arrays.stream(line.split("\\|")).skip(1).map(String::trim).toList();
    }
}
