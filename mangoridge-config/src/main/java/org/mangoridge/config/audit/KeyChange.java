package org.mangoridge.config.audit;

import org.mangoridge.core.Checks;

/**
 * A changed key of the configuration. Secret values are replaced by {@link #HIDDEN}.
 *
 * @param section the heading of the section
 * @param key the key
 * @param oldValue the previous value, null if the key was added
 * @param newValue the new value, null if the key was removed
 * @param file the file that contains the new value, null if the key was removed
 * @param line the line in {@code file}, 0 if the key was removed
 */
public record KeyChange(String section, String key, String oldValue, String newValue, String file, int line) {

    /** The placeholder for a secret value. */
    public static final String HIDDEN = "(hidden)";

    public KeyChange {
        Checks.notBlank(section, "section");
        Checks.notBlank(key, "key");
    }

    @Override
    public String toString() {
        String where = file == null ? "" : " (" + file + ":" + line + ")";
        String name = "[" + section + "] " + key + ": ";
        if (oldValue == null) {
            return "+ " + name + newValue + where;
        }
        if (newValue == null) {
            return "- " + name + oldValue;
        }
        return "~ " + name + oldValue + " -> " + newValue + where;
    }
}
