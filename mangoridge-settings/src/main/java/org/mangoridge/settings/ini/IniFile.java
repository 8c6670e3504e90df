package org.mangoridge.settings.ini;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;
import org.mangoridge.core.Result;

/** Parses INI files into sections whose headings and keys have their line numbers. */
public final class IniFile {

    private IniFile() {}

    /**
     * Parses {@code text}.
     *
     * @param fileName the file name that problems and origins show
     * @return the sections in the order of the file, or the first syntax error
     */
    public static Result<List<IniSection>, Problem> parse(String fileName, String text) {
        LineReader reader = new LineReader(new StringReader(text));
        SectionCollector collector = new SectionCollector(fileName, reader);
        IniParser parser = IniParser.newInstance(config());
        try {
            parser.parse(reader, collector);
            return Result.ok(collector.sections());
        } catch (InvalidFileFormatException e) {
            Origin origin = new Origin(fileName, reader.line());
            return Result.err(new Problem(origin, "format", "expected [SECTION] or KEY = VALUE: " + e.getMessage()));
        } catch (IOException e) {
            return Result.err(new Problem(new Origin(fileName, reader.line()), "file", String.valueOf(e.getMessage())));
        }
    }

    private static Config config() {
        Config config = new Config();
        config.setEscape(false);
        config.setEmptyOption(true);
        config.setMultiOption(true);
        config.setMultiSection(true);
        return config;
    }

    /**
     * Returns at most one line for each read, so that the line count is exact when the parser calls the handler.
     *
     * <p>Ini4j passes no line numbers to its handlers.
     */
    private static final class LineReader extends Reader {

        private final StringReader text;
        private int line;

        private LineReader(StringReader text) {
            this.text = text;
        }

        private int line() {
            return line;
        }

        @Override
        public int read(char[] buffer, int offset, int length) throws IOException {
            int count = 0;
            while (count < length) {
                int c = text.read();
                if (c < 0) {
                    break;
                }
                buffer[offset + count++] = (char) c;
                if (c == '\n') {
                    break;
                }
            }
            line++;
            return count == 0 ? -1 : count;
        }

        @Override
        public void close() {
            text.close();
        }
    }

    private static final class SectionCollector implements IniHandler {

        private final String fileName;
        private final LineReader reader;
        private final List<IniSection> sections = new ArrayList<>();
        private String heading;
        private Origin headingOrigin;
        private List<IniEntry> entries;

        private SectionCollector(String fileName, LineReader reader) {
            this.fileName = fileName;
            this.reader = reader;
        }

        private List<IniSection> sections() {
            return sections;
        }

        @Override
        public void startIni() {}

        @Override
        public void startSection(String sectionName) {
            heading = sectionName.trim();
            headingOrigin = origin();
            entries = new ArrayList<>();
        }

        @Override
        public void handleOption(String optionName, String optionValue) {
            String value = Optional.ofNullable(optionValue).orElse("").trim();
            entries.add(new IniEntry(optionName, value, origin()));
        }

        @Override
        public void handleComment(String comment) {}

        @Override
        public void endSection() {
            int space = heading.indexOf(' ');
            String kind = space < 0 ? heading : heading.substring(0, space);
            String name = space < 0 ? "" : heading.substring(space + 1).trim();
            sections.add(new IniSection(kind, name, headingOrigin, entries));
        }

        @Override
        public void endIni() {}

        private Origin origin() {
            return new Origin(fileName, reader.line());
        }
    }
}
