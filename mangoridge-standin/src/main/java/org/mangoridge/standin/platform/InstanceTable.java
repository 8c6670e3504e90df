package org.mangoridge.standin.platform;

import java.util.ArrayList;
import java.util.List;

import org.mangoridge.objects.http.PlatformMessages;

/** The list of instances that the platform answers with; safe for use by several threads. */
public final class InstanceTable {

    private final List<PlatformMessages.InstanceMessage> instances = new ArrayList<>();
    private List<PlatformMessages.InstanceMessage> shown = List.of();
    private boolean held;

    InstanceTable() {}

    /** Adds an instance, or replaces the one with the same id. */
    public synchronized void put(PlatformMessages.InstanceMessage instance) {
        instances.removeIf(existing -> existing.id().equals(instance.id()));
        instances.add(instance);
        show();
    }

    /** Removes the instance named {@code id}, if there is one. */
    public synchronized void remove(String id) {
        instances.removeIf(existing -> existing.id().equals(id));
        show();
    }

    /** Makes the list lag: while held, answers show it as it was. */
    public synchronized void freeze(boolean on) {
        held = on;
        show();
    }

    synchronized List<PlatformMessages.InstanceMessage> list() {
        return shown;
    }

    private void show() {
        if (!held) {
            shown = List.copyOf(instances);
        }
    }
}
