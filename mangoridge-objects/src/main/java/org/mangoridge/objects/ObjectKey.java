package org.mangoridge.objects;

import java.util.regex.Pattern;

import org.mangoridge.core.Checks;

/**
 * Names an object, as words separated by slashes.
 *
 * @param path the words, such as {@code config/head}
 */
public record ObjectKey(String path) {

    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*");

    public ObjectKey {
        Checks.notBlank(path, "object key");
        Checks.argument(FORM.matcher(path).matches(), "object key must be words separated by slashes: %s", path);
    }

    /** Returns the key written as {@code path}. */
    public static ObjectKey of(String path) {
        return new ObjectKey(path);
    }

    @Override
    public String toString() {
        return path;
    }
}
