package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies a caller named in the configuration.
 *
 * @param value the id as written, never blank
 */
public record CallerId(String value) implements Comparable<CallerId> {

    public CallerId {
        Checks.notBlank(value, "caller id");
    }

    /** Returns the id written as {@code value}. */
    public static CallerId of(String value) {
        return new CallerId(value);
    }

    @Override
    public int compareTo(CallerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
