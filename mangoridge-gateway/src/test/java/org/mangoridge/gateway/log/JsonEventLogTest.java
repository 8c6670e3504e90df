package org.mangoridge.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.time.VirtualClock;

import static com.google.common.truth.Truth.assertThat;

class JsonEventLogTest {

    private final VirtualClock clock = VirtualClock.create();

    @Test
    void lineIsOneJsonObjectWithTheFieldsOfTheEvent() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonEventLog log = JsonEventLog.start(clock, "entry-1", out);
        log.log(LogEvent.REQUEST_PLACED, Field.of("request", "r-\"1\""), Field.of("sends", 2));
        log.drain();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .isEqualTo(
                        "{\"time\":\"2026-01-01T00:00:00Z\",\"up_ms\":0,\"instance\":\"entry-1\","
                                + "\"code\":\"MR-204\",\"event\":\"request placed\",\"request\":\"r-\\\"1\\\"\",\"sends\":2}\n");
    }

    /** Guards against a name of a megabyte from another writer that fills the memory through the queue of lines. */
    @Test
    void longTextsAreCut() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonEventLog log = JsonEventLog.start(clock, "entry-1", out);
        log.log(LogEvent.SERVER_ENTRY_UNREADABLE, Field.of("server", "s".repeat(1 << 20)));
        log.drain();
        assertThat(out.size()).isLessThan(4096);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("1048576 characters");
    }

    @Test
    void informationalLinesAreRateLimitedAndWarningsAreNot() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonEventLog log = JsonEventLog.start(clock, "entry-1", out);
        for (int i = 0; i < JsonEventLog.MAX_LINES_PER_SECOND + 10; i++) {
            log.log(LogEvent.REQUEST_PLACED);
        }
        log.log(LogEvent.STREAM_CUT);
        log.drain();
        assertThat(log.dropped()).isEqualTo(10);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("MR-208");
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"lines_dropped\":10");
    }

    @Test
    void blockedOutputDoesNotBlockLogging() {
        CountDownLatch never = new CountDownLatch(1);
        OutputStream stuck = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                try {
                    never.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        JsonEventLog log = JsonEventLog.start(clock, "entry-1", stuck);
        for (int i = 0; i < JsonEventLog.QUEUE_LINES * 3; i++) {
            log.log(LogEvent.STREAM_CUT);
        }
        assertThat(log.dropped()).isAtLeast((long) JsonEventLog.QUEUE_LINES / 2);
        never.countDown();
    }
}
