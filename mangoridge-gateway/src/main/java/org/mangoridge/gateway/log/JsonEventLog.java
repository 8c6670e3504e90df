package org.mangoridge.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.time.Clock;

/**
 * Writes events as JSON objects, one per line, on a thread of its own. Thread-safe.
 *
 * <p>At most {@link #MAX_LINES_PER_SECOND} informational lines are accepted per second and at most {@link #QUEUE_LINES}
 * lines are queued; further lines are dropped, and the next line contains the number of lines dropped so far.
 */
public final class JsonEventLog implements EventSink {

    /** Maximum rate of informational lines, about ten times that of a small idle instance. */
    public static final int MAX_LINES_PER_SECOND = 400;
    /** Capacity of the queue in lines, about 1 MB. */
    public static final int QUEUE_LINES = 4096;

    private static final JsonFactory JSON = new JsonFactory();
    private static final long DRAIN_TIMEOUT_MILLIS = 200;
    private static final int MAX_TEXT_LENGTH = 1024;

    private final Clock clock;
    private final String instance;
    private final OutputStream out;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private long currentSecond;
    private int linesThisSecond;
    private long droppedReported;

    private JsonEventLog(Clock clock, String instance, OutputStream out) {
        this.clock = clock;
        this.instance = instance;
        this.out = out;
        this.writer = new Thread(this::writeAll, "log-writer");
        this.writer.setDaemon(true);
    }

    /** Returns a log with a running writer thread; each line contains {@code instance}. */
    public static JsonEventLog start(Clock clock, String instance, OutputStream out) {
        JsonEventLog log = new JsonEventLog(clock, instance, out);
        log.writer.start();
        return log;
    }

    @Override
    public synchronized void log(LogEvent event, Field... fields) {
        if (event.level().intValue() <= Level.INFO.intValue() && !withinRate()) {
            dropped.incrementAndGet();
            return;
        }
        if (!queue.offer(line(event, fields))) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of lines dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    /** Stops the writer once the queue is empty and waits a bounded time for it. */
    public void drain() {
        writer.interrupt();
        try {
            writer.join(DRAIN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean withinRate() {
        long now = clock.elapsed().toSeconds();
        if (now != currentSecond) {
            currentSecond = now;
            linesThisSecond = 0;
        }
        return ++linesThisSecond <= MAX_LINES_PER_SECOND;
    }

    private String line(LogEvent event, Field... fields) {
        StringWriter text = new StringWriter(256);
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("time", clock.now().toString());
            json.writeNumberField("up_ms", clock.elapsed().toMillis());
            json.writeStringField("instance", instance);
            json.writeStringField("code", event.code());
            json.writeStringField("event", event.text());
            for (Field field : fields) {
                writeField(json, field);
            }
            long droppedNow = dropped.get();
            if (droppedNow > droppedReported) {
                json.writeNumberField("lines_dropped", droppedNow);
                droppedReported = droppedNow;
            }
            json.writeEndObject();
        } catch (IOException e) {
            return "{\"code\":\"" + event.code() + "\",\"unwritable\":true}";
        }
        return text.toString();
    }

    private static void writeField(JsonGenerator json, Field field) throws IOException {
        switch (field.value()) {
            case null -> json.writeNullField(field.name());
            case Duration time -> json.writeNumberField(field.name(), time.toMillis());
            case Integer number -> json.writeNumberField(field.name(), number);
            case Long number -> json.writeNumberField(field.name(), number);
            case Double number -> json.writeNumberField(field.name(), Math.round(number * 1000) / 1000.0);
            case OptionalLong number when number.isPresent() -> json.writeNumberField(field.name(), number.getAsLong());
            case OptionalLong none -> json.writeNullField(field.name());
            case Boolean flag -> json.writeBooleanField(field.name(), flag);
            default -> json.writeStringField(field.name(), shortened(String.valueOf(field.value())));
        }
    }

    /** Cuts a text that came from outside; the queue must hold its lines in little memory. */
    private static String shortened(String text) {
        return text.length() <= MAX_TEXT_LENGTH
                ? text
                : text.substring(0, MAX_TEXT_LENGTH) + "... (" + text.length() + " characters)";
    }

    private void writeAll() {
        boolean draining = false;
        StringBuilder batch = new StringBuilder();
        while (!draining || !queue.isEmpty()) {
            try {
                String line = queue.poll(draining ? 0 : 1000, TimeUnit.MILLISECONDS);
                for (; line != null; line = queue.poll()) {
                    batch.append(line).append('\n');
                }
            } catch (InterruptedException e) {
                draining = true;
            }
            write(batch);
        }
    }

    private void write(StringBuilder batch) {
        if (batch.isEmpty()) {
            return;
        }
        try {
            out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            dropped.incrementAndGet();
        }
        batch.setLength(0);
    }
}
