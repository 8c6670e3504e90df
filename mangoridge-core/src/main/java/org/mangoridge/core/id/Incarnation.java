package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * The number of one run of an entry instance; a later run has a greater number.
 *
 * @param value the number, zero or greater
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

    public Incarnation {
        Checks.argument(value >= 0, "incarnation must not be negative: %d", value);
    }

    /** Returns the incarnation of the given number. */
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    /** Tells whether this incarnation is later than {@code other}. */
    public boolean isAfter(Incarnation other) {
        return value > other.value;
    }

    /** Returns the next incarnation. */
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
