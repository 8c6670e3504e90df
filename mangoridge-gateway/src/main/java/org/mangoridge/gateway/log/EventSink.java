package org.mangoridge.gateway.log;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;

/** Accepts log events; never blocks. */
@FunctionalInterface
public interface EventSink {

    /** Logs an event with its fields, or drops and counts it. */
    void log(LogEvent event, Field... fields);
}
