package org.mangoridge.gateway.net;

import java.time.Duration;

/** Parses the {@code Keep-Alive} response header. */
final class KeepAliveHeader {

    private static final String TIMEOUT_PREFIX = "timeout=";

    private KeepAliveHeader() {}

    /** Returns the idle timeout that the header announces; null if there is none. */
    static Duration timeout(String value) {
        if (value == null) {
            return null;
        }
        for (String part : value.split(",")) {
            String trimmed = part.trim();
            if (trimmed.startsWith(TIMEOUT_PREFIX)) {
                return seconds(trimmed.substring(TIMEOUT_PREFIX.length()).trim());
            }
        }
        return seconds(value.trim());
    }

    private static Duration seconds(String text) {
        try {
            return Duration.ofSeconds(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
