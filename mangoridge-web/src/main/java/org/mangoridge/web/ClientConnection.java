package org.mangoridge.web;

/** The connection on which a request came. Implementations are thread-safe. */
public interface ClientConnection {

    /** Returns whether the connection was closed before the reply was complete. */
    boolean isClosed();

    /**
     * Runs {@code action} once when the connection closes, or now if it is closed already.
     *
     * @param action must not block
     */
    void onClose(Runnable action);
}
