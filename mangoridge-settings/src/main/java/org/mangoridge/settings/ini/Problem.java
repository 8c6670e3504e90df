package org.mangoridge.settings.ini;

/**
 * Something wrong with a file.
 *
 * @param origin where
 * @param key the key or section that is wrong
 * @param message what is wrong and what form is accepted
 */
public record Problem(Origin origin, String key, String message) {

    @Override
    public String toString() {
        return origin + ": " + key + ": " + message;
    }
}
