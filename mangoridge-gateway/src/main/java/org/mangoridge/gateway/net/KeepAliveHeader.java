package org.mangoridge.gateway.net;

import java.time.Duration;

/** Reads the header in which a server says how long it keeps an idle connection. */
final class KeepAliveHeader {

    private static final String TIMEOUT = "timeout=";

    private KeepAliveHeader() {}

    /** Returns the time in {@code value}; null if it says none. */
    static Duration timeout(String value) {
        if (value == null) {
            return null;
        }
        for (String part : value.split(",")) {
            String trimmed = part.trim();
            if (trimmed.startsWith(TIMEOUT)) {
                return seconds(trimmed.substring(TIMEOUT.length()).trim());
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
