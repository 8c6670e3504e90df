package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies the run of an entry instance that owns reservations or attempts at a backend server.
 *
 * @param instance the instance
 * @param incarnation the number of its run
 */
public record Owner(InstanceId instance, Incarnation incarnation) {

    public Owner {
        Checks.notNull(instance, "instance");
        Checks.notNull(incarnation, "incarnation");
    }

    @Override
    public String toString() {
        return instance + "/" + incarnation;
    }
}
