package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Numbers one run of an entry instance; a later run has a greater number.
 *
 * @param value the number, zero or greater
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

    public Incarnation {
        Checks.argument(value >= 0, "incarnation must not be negative: %d", value);
    }

    /** Returns the number {@code value} as a incarnation. */
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    /** Tells whether this number is greater than {@code other}. */
    public boolean isAfter(Incarnation other) {
        return value > other.value;
    }

    /** Returns the number that follows this one. */
    public Incarnation next() {
        return new Incarnation(value + 1);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
