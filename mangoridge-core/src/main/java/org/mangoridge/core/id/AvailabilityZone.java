package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies an availability zone.
 *
 * @param value the id as written, never blank
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    public AvailabilityZone {
        Checks.notBlank(value, "availability zone");
    }

    /** Returns the id written as {@code value}. */
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
