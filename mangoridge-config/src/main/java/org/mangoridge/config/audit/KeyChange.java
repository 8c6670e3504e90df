package org.mangoridge.config.audit;

import org.mangoridge.core.Checks;

/**
 * A key of the configuration that changed; secrets are replaced by {@link #HIDDEN}.
 *
 * @param section the section's heading
 * @param key the key
 * @param oldValue the value before, null if the key is new
 * @param newValue the value after, null if the key is gone
 * @param file the file that states the new value, null if the key is gone
 * @param line the line in the file, 0 if the key is gone
 */
public record KeyChange(String section, String key, String oldValue, String newValue, String file, int line) {

    /** What stands in place of a secret. */
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
