package org.mangoridge.web;

/** Tells whether the peer of a request has gone; safe for use by several threads. */
public interface ClientConnection {

    /** Tells whether the connection closed before the answer was complete. */
    boolean isClosed();

    /** Runs {@code action} once when the connection closes, at once if it has; the action must not block. */
    void onClose(Runnable action);
}
