package org.mangoridge.core;

/** Argument checks with a message that names the argument. */
public final class Checks {

    private Checks() {}

    /**
     * Returns {@code value} if it is not null.
     *
     * @throws IllegalArgumentException if {@code value} is null
     */
    public static <T> T notNull(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must not be null");
        }
        return value;
    }

    /**
     * Returns {@code value} if it is not blank.
     *
     * @throws IllegalArgumentException if {@code value} is null or blank
     */
    public static String notBlank(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
        return value;
    }

    /**
     * Checks a condition on an argument.
     *
     * @throws IllegalArgumentException with the formatted message if {@code condition} is false
     */
    public static void argument(boolean condition, String format, Object... arguments) {
        if (!condition) {
            throw new IllegalArgumentException(String.format(format, arguments));
        }
    }
}
