package org.mangoridge.standin.platform;

import java.util.ArrayList;
import java.util.List;

import org.mangoridge.platform.http.PlatformMessages;

/** The list of instances that the platform answers with; safe for use by several threads. */
public final class InstanceTable {

    private final List<PlatformMessages.InstanceMessage> instances = new ArrayList<>();

    InstanceTable() {}

    /** Adds an instance, or replaces the one with the same id. */
    public synchronized void put(PlatformMessages.InstanceMessage instance) {
        remove(instance.id());
        instances.add(instance);
    }

    /** Removes the instance named {@code id}, if there is one. */
    public synchronized void remove(String id) {
        instances.removeIf(existing -> existing.id().equals(id));
    }

    synchronized List<PlatformMessages.InstanceMessage> list() {
        return List.copyOf(instances);
    }
}
