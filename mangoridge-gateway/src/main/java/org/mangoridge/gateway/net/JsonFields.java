package org.mangoridge.gateway.net;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads fields of JSON objects; throws an {@link IllegalArgumentException} that names a malformed field. */
public final class JsonFields {

    private JsonFields() {}

    /** Returns a field that must be a non-empty string. */
    public static String text(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw new IllegalArgumentException(name + " must be a non-empty string");
        }
        return value.textValue();
    }

    /** Returns a field that must be an integer of 32 bits. */
    public static int integer(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            throw new IllegalArgumentException(name + " must be an integer");
        }
        return value.intValue();
    }

    /** Returns a field that must be an integer of 64 bits. */
    public static long longInteger(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(name + " must be an integer");
        }
        return value.longValue();
    }

    /** Returns a field that must be a whole number, or the default if it is missing. */
    public static long countOr(JsonNode node, String name, long defaultValue) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0)) {
            throw new IllegalArgumentException(name + " must be a whole number");
        }
        return value.asLong(defaultValue);
    }

    /** Returns a field that must be a number. */
    public static double number(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isNumber()) {
            throw new IllegalArgumentException(name + " must be a number");
        }
        return value.doubleValue();
    }

    /** Returns a field that must be a number of milliseconds. */
    public static Duration millis(JsonNode node, String name) {
        return Duration.ofNanos((long) (number(node, name) * 1e6));
    }

    /** Returns a field that must be a number, or the default if it is missing. */
    public static double numberOr(JsonNode node, String name, double defaultValue) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isNumber()) {
            throw new IllegalArgumentException(name + " must be a number");
        }
        return value.asDouble(defaultValue);
    }

    /** Returns a field that must be a number of milliseconds, or the default if it is missing. */
    public static Duration millisOr(JsonNode node, String name, Duration defaultValue) {
        return node.has(name) ? millis(node, name) : defaultValue;
    }
}
