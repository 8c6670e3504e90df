package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies a backend server.
 *
 * @param value the id as written, never blank
 */
public record ServerId(String value) implements Comparable<ServerId> {

    public ServerId {
        Checks.notBlank(value, "server id");
    }

    /** Returns the id written as {@code value}. */
    public static ServerId of(String value) {
        return new ServerId(value);
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
