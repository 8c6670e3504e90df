package org.mangoridge.core.id;

import org.mangoridge.core.Checks;

/**
 * Identifies one attempt at a request; answers that name a different attempt are dropped.
 *
 * @param request the request that is attempted
 * @param number the attempt's number within the request, from 1
 */
public record AttemptId(RequestId request, int number) {

    public AttemptId {
        Checks.notNull(request, "request");
        Checks.argument(number >= 1, "attempt number must be at least 1: %d", number);
    }

    /** Returns the first attempt at {@code request}. */
    public static AttemptId first(RequestId request) {
        return new AttemptId(request, 1);
    }

    /**
     * Parses an id of the form of {@link #toString()}.
     *
     * @throws IllegalArgumentException if {@code text} is not of this form
     */
    public static AttemptId parse(String text) {
        int dot = text.lastIndexOf('.');
        Checks.argument(dot > 0, "attempt id must be REQUEST.NUMBER: %s", text);
        return new AttemptId(RequestId.of(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }

    /** Returns the attempt that follows this one. */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "." + number;
    }
}
