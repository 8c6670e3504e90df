package org.mangoridge.config;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

import org.mangoridge.core.Checks;

/**
 * Identifies one apply. The outcome of the apply can be queried later by this id.
 *
 * @param value 1 to 64 letters, digits and hyphens
 */
public record ApplyId(String value) {

    private static final Pattern VALID_ID = Pattern.compile("[A-Za-z0-9-]{1,64}");
    private static final int RANDOM_BYTES = 8;

    public ApplyId {
        Checks.notBlank(value, "apply id");
        Checks.argument(VALID_ID.matcher(value).matches(), "apply id must be letters, digits and hyphens: %s", value);
    }

    /** Returns the id with the given text. */
    public static ApplyId of(String value) {
        return new ApplyId(value);
    }

    /** Returns a new random id of 16 hexadecimal digits. */
    public static ApplyId random(RandomGenerator random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        return new ApplyId(HexFormat.of().formatHex(bytes));
    }

    @Override
    public String toString() {
        return value;
    }
}
