package org.mangoridge.web;

import java.util.ArrayList;
import java.util.List;

/** Records whether the connection of a request was closed, and runs the actions registered for that. */
final class ConnectionState implements ClientConnection {

    private final List<Runnable> actions = new ArrayList<>();
    private boolean closed;

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    @Override
    public void onClose(Runnable action) {
        synchronized (this) {
            if (!closed) {
                actions.add(action);
                return;
            }
        }
        action.run();
    }

    /** Records the close and runs the registered actions; later calls have no effect. */
    void markClosed() {
        List<Runnable> pending;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            pending = List.copyOf(actions);
            actions.clear();
        }
        pending.forEach(Runnable::run);
    }
}
