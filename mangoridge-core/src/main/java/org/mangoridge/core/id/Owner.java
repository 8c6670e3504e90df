package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Names the run of an entry instance that holds something at a backend server.
 *
 * @param instance the instance
 * @param incarnation its run
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
