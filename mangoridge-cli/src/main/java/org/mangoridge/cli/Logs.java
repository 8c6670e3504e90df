package org.mangoridge.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes the log to standard error, one line an event. */
final class Logs {

    private static final Logger ROOT = Logger.getLogger("");
    private static final Logger WEB_LIBRARY = Logger.getLogger("ratpack");
    private static final String CONTEXT_MARK = " [CONTEXT ";

    private Logs() {}

    /** Replaces the platform's log handlers; libraries are heard from warnings up. */
    static void install(Level level) {
        LogManager.getLogManager().reset();
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new LineFormatter());
        handler.setLevel(level);
        ROOT.addHandler(handler);
        ROOT.setLevel(level);
        WEB_LIBRARY.setLevel(Level.WARNING);
    }

    /** Writes time, level and message, and the stack trace of a cause. */
    static final class LineFormatter extends Formatter {

        @Override
        public String format(LogRecord record) {
            String message = formatMessage(record);
            int context = message.indexOf(CONTEXT_MARK);
            String text = context < 0 ? message : message.substring(0, context);
            Instant time = record.getInstant().truncatedTo(ChronoUnit.MILLIS);
            return time + " " + record.getLevel() + " " + text + System.lineSeparator() + trace(record);
        }

        private static String trace(LogRecord record) {
            if (record.getThrown() == null) {
                return "";
            }
            StringWriter text = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(text));
            return text.toString();
        }
    }
}
