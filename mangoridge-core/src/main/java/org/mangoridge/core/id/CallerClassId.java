package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies a class of callers that share latency targets.
 *
 * @param value the id as written, never blank
 */
public record CallerClassId(String value) implements Comparable<CallerClassId> {

    public CallerClassId {
        Checks.notBlank(value, "class id");
    }

    /** Returns the id written as {@code value}. */
    public static CallerClassId of(String value) {
        return new CallerClassId(value);
    }

    @Override
    public int compareTo(CallerClassId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
