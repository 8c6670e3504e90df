package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies a service that callers send requests to.
 *
 * @param value the id as written, never blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    public ServiceId {
        Checks.notBlank(value, "service id");
    }

    /** Returns the id written as {@code value}. */
    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
