package org.mangoridge.gateway.log;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;

/** Runs tasks of the event loop, which would drop their exceptions silently. */
public final class GuardedTask {

    private GuardedTask() {}

    /** Returns a task that logs an exception of {@code task} as an internal error at {@code place}. */
    public static Runnable of(EventSink log, String place, Runnable task) {
        return () -> run(log, place, task);
    }

    /** Runs a task and logs an exception as an internal error at {@code place}. */
    public static void run(EventSink log, String place, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logError(log, place, e);
        }
    }

    /** Logs an exception, which shows a defect, with the place in the code where it was thrown. */
    public static void logError(EventSink log, String place, Throwable error, Field... inputs) {
        Field[] fields = new Field[inputs.length + 3];
        fields[0] = Field.of("where", place);
        fields[1] = Field.of("detail", error);
        fields[2] = Field.of("at", error.getStackTrace().length == 0 ? "unknown" : error.getStackTrace()[0]);
        System.arraycopy(inputs, 0, fields, 3, inputs.length);
        log.log(LogEvent.INTERNAL_ERROR, fields);
    }
}
