package org.mangoridge.web;

/** Writes the body of a streamed reply. */
@FunctionalInterface
public interface StreamBody {

    /** Writes the body to {@code sink} and returns when it is complete; may block. */
    void writeTo(StreamSink sink);
}
