package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * The version number of an accepted configuration; a later one has a greater number.
 *
 * @param value the number, zero or greater
 */
public record Generation(long value) implements Comparable<Generation> {

    public Generation {
        Checks.argument(value >= 0, "generation must not be negative: %d", value);
    }

    /** Returns the generation of the given number. */
    public static Generation of(long value) {
        return new Generation(value);
    }

    /** Tells whether this generation is later than {@code other}. */
    public boolean isAfter(Generation other) {
        return value > other.value;
    }

    /** Returns the next generation. */
    public Generation next() {
        return new Generation(value + 1);
    }

    @Override
    public int compareTo(Generation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
