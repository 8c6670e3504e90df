import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line each with its time since the start in milliseconds. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8d %s%n", millis(), String.format(format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
