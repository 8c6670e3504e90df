package org.mangoridge.config;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

import org.mangoridge.core.Checks;

/**
 * Identifies one apply, so that its outcome can be asked for again.
 *
 * @param value letters, digits and hyphens
 */
public record ApplyId(String value) {

    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9-]{1,64}");
    private static final int RANDOM_BYTES = 8;

    public ApplyId {
        Checks.notBlank(value, "apply id");
        Checks.argument(FORM.matcher(value).matches(), "apply id must be letters, digits and hyphens: %s", value);
    }

    /** Returns the id written as {@code value}. */
    public static ApplyId of(String value) {
        return new ApplyId(value);
    }

    /** Returns a new id. */
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
