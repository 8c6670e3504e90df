package org.mangoridge.core.event;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/** Writes numbered events to the log, rate-limited per event; safe for use by several threads. */
public final class EventLog {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MIN_INTERVAL_MILLIS = 20;

    private EventLog() {}

    /** Writes {@code event} with its fields, unless the same event was written less than 20 ms ago. */
    public static void write(LogEvent event, Field... fields) {
        LOGGER.at(event.level())
                .per(event)
                .atMostEvery(MIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .log("%s %s%s", event.code(), event.text(), new Fields(fields));
    }

    /** Writes {@code event} with a cause and its fields, unless the same event was written less than 20 ms ago. */
    public static void write(LogEvent event, Throwable cause, Field... fields) {
        LOGGER.at(event.level())
                .withCause(cause)
                .per(event)
                .atMostEvery(MIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .log("%s %s%s", event.code(), event.text(), new Fields(fields));
    }

    private record Fields(Field... fields) {

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder();
            for (Field field : fields) {
                text.append(' ').append(field);
            }
            return text.toString();
        }
    }
}
