package org.mangoridge.gateway.log;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;

/** Takes events for the log; never blocks. */
@FunctionalInterface
public interface EventSink {

    /** Writes an event with its fields, or counts it as dropped. */
    void log(LogEvent event, Field... fields);
}
