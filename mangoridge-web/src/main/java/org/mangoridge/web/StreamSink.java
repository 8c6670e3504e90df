package org.mangoridge.web;

import java.nio.charset.StandardCharsets;

/** Receives the chunks of a streamed reply from a single thread. */
public interface StreamSink {

    /**
     * Sends a chunk, and blocks while the client reads too slowly.
     *
     * @return false if nothing more can be sent, since the client disconnected or did not read in time
     */
    boolean write(byte[] chunk);

    /** Ends the stream in such a way that the client sees it as truncated, not complete. */
    void abort();

    /** Sends {@code data} as one server-sent event; see {@link #write(byte[])}. */
    default boolean writeEvent(String data) {
        return write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
