package org.mangoridge.core;

/** Argument checks with a message that names the argument. */
public final class Checks {

    private static final int MAX_IDENTIFIER_LENGTH = 256;
    private static final int DELETE_CHARACTER = 0x7f;

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
     * Returns {@code value} if it can be written in a header, a log line and a message: 1 to 256 visible ASCII characters.
     *
     * @throws IllegalArgumentException if it can't; the message does not contain the value
     */
    public static String identifier(String value, String name) {
        argument(
                value != null && value.length() <= MAX_IDENTIFIER_LENGTH && !value.isEmpty(),
                "%s must have 1 to %d characters",
                name,
                MAX_IDENTIFIER_LENGTH);
        argument(
                value.chars().allMatch(each -> each > ' ' && each < DELETE_CHARACTER),
                "%s must consist of visible ASCII characters",
                name);
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
