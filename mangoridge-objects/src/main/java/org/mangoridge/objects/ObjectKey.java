package org.mangoridge.objects;

import java.util.regex.Pattern;

import org.mangoridge.core.Checks;

/**
 * The key of an object: words separated by slashes.
 *
 * @param path the key as text, such as {@code config/head}
 */
public record ObjectKey(String path) {

    private static final Pattern SYNTAX = Pattern.compile("[A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*");

    public ObjectKey {
        Checks.notBlank(path, "object key");
        Checks.argument(SYNTAX.matcher(path).matches(), "object key must be words separated by slashes: %s", path);
    }

    /** Returns the key that {@code path} denotes. */
    public static ObjectKey of(String path) {
        return new ObjectKey(path);
    }

    @Override
    public String toString() {
        return path;
    }
}
