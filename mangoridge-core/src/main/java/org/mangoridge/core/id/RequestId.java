package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies one request as a caller sent it.
 *
 * @param value the id as written, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

    public RequestId {
        Checks.notBlank(value, "request id");
    }

    /** Returns the id written as {@code value}. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
