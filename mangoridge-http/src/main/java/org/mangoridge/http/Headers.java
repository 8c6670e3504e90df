package org.mangoridge.http;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangoridge.core.Checks;

/** HTTP headers with case-insensitive names and one value for each name. Immutable. */
public final class Headers {

    private static final Headers EMPTY = new Headers(new TreeMap<>(String.CASE_INSENSITIVE_ORDER));

    private final Map<String, String> values;

    private Headers(Map<String, String> values) {
        this.values = Collections.unmodifiableMap(values);
    }

    /** Returns an empty set of headers. */
    public static Headers empty() {
        return EMPTY;
    }

    /** Returns headers that consist of the given one. */
    public static Headers of(String name, String value) {
        return EMPTY.with(name, value);
    }

    /** Returns a copy of {@code values}. */
    public static Headers copyOf(Map<String, String> values) {
        Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        copy.putAll(values);
        return new Headers(copy);
    }

    /** Returns these headers with {@code name} set to {@code value}. */
    public Headers with(String name, String value) {
        Checks.notBlank(name, "header name");
        Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        copy.putAll(values);
        copy.put(name, value);
        return new Headers(copy);
    }

    /** Returns the value of {@code name}, if present. */
    public Optional<String> value(String name) {
        return Optional.ofNullable(values.get(name));
    }

    /** Returns all headers by name, as an unmodifiable map. */
    public Map<String, String> asMap() {
        return values;
    }

    /** Returns the header names, without their values. */
    @Override
    public String toString() {
        return values.keySet().toString();
    }
}
