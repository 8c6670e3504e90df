package org.mangoridge.web;

import java.util.ArrayList;
import java.util.List;

/** Notes the close of a request's connection. */
final class ConnectionState implements ClientConnection {

    private final List<Runnable> actions = new ArrayList<>();
    private boolean gone;

    @Override
    public synchronized boolean isClosed() {
        return gone;
    }

    @Override
    public void onClose(Runnable action) {
        synchronized (this) {
            if (!gone) {
                actions.add(action);
                return;
            }
        }
        action.run();
    }

    void closed() {
        List<Runnable> pending;
        synchronized (this) {
            if (gone) {
                return;
            }
            gone = true;
            pending = List.copyOf(actions);
            actions.clear();
        }
        pending.forEach(Runnable::run);
    }
}
