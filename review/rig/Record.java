package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** What was sent, answered and run, with the milliseconds since the start. */
public final class Record {

    private final PrintWriter out;
    private final long start = System.nanoTime();

    public Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    public long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    public synchronized void add(String text) {
        out.printf("%6d ms  %s%n", now(), text);
        out.flush();
    }
}
