package org.mangoridge.standin.platform;

import java.util.ArrayList;
import java.util.List;

import org.mangoridge.objects.http.PlatformMessages;

/** The list of instances that the platform returns; thread-safe. */
public final class InstanceTable {

    private final List<PlatformMessages.InstanceMessage> instances = new ArrayList<>();
    private List<PlatformMessages.InstanceMessage> visible = List.of();
    private boolean frozen;

    InstanceTable() {}

    /** Adds an instance, or replaces the one with the same id. */
    public synchronized void put(PlatformMessages.InstanceMessage instance) {
        instances.removeIf(existing -> existing.id().equals(instance.id()));
        instances.add(instance);
        publish();
    }

    /** Removes the instance named {@code id}, if there is one. */
    public synchronized void remove(String id) {
        instances.removeIf(existing -> existing.id().equals(id));
        publish();
    }

    /** Freezes or unfreezes the returned list: while frozen, later changes are not visible. */
    public synchronized void freeze(boolean on) {
        frozen = on;
        publish();
    }

    synchronized List<PlatformMessages.InstanceMessage> list() {
        return visible;
    }

    private void publish() {
        if (!frozen) {
            visible = List.copyOf(instances);
        }
    }
}
