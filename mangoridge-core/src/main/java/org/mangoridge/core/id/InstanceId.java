package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies an entry instance of the system.
 *
 * @param value the id as written, never blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    public InstanceId {
        Checks.notBlank(value, "instance id");
    }

    /** Returns the id written as {@code value}. */
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
