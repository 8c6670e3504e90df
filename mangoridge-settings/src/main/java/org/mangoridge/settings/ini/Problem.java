package org.mangoridge.settings.ini;

/**
 * An error in a file.
 *
 * @param origin the file and line of the error
 * @param key the key or section to which the error belongs
 * @param message what is wrong, and what is accepted instead
 */
public record Problem(Origin origin, String key, String message) {

    @Override
    public String toString() {
        return origin + ": " + key + ": " + message;
    }
}
