package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Numbers one tenure of a lease; a later holder has a greater number.
 *
 * @param value the number, zero or greater
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

    public FencingNumber {
        Checks.argument(value >= 0, "fencing number must not be negative: %d", value);
    }

    /** Returns the number {@code value} as a fencing number. */
    public static FencingNumber of(long value) {
        return new FencingNumber(value);
    }

    /** Tells whether this number is greater than {@code other}. */
    public boolean isAfter(FencingNumber other) {
        return value > other.value;
    }

    /** Returns the number that follows this one. */
    public FencingNumber next() {
        return new FencingNumber(value + 1);
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
