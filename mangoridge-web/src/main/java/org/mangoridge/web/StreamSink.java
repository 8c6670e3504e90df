package org.mangoridge.web;

import java.nio.charset.StandardCharsets;

/** Takes the pieces of a streamed answer from one thread. */
public interface StreamSink {

    /**
     * Sends a piece, waiting while the peer is slow.
     *
     * @return false if the peer has gone or took too long; nothing more can be sent
     */
    boolean write(byte[] piece);

    /** Ends the stream so that the peer sees it as cut, not complete. */
    void abort();

    /** Sends one server-sent event; see {@link #write(byte[])}. */
    default boolean writeEvent(String data) {
        return write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
