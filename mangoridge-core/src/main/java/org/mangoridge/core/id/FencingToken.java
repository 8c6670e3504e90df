package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * The fencing token of one tenure of a lease; a later tenure has a greater token.
 *
 * @param value the token, zero or greater
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

    public FencingToken {
        Checks.argument(value >= 0, "fencing token must not be negative: %d", value);
    }

    /** Returns the fencing token of the given value. */
    public static FencingToken of(long value) {
        return new FencingToken(value);
    }

    /** Tells whether this token is greater than {@code other}. */
    public boolean isAfter(FencingToken other) {
        return value > other.value;
    }

    /** Returns the next token. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
