package org.mangoridge.core.event;

import org.mangoridge.core.Checks;

/**
 * A named value of a log event.
 *
 * @param name the name, without whitespace
 * @param value the value; must not be a secret
 */
public record Field(String name, Object value) {

    public Field {
        Checks.notBlank(name, "field name");
    }

    /** Returns a field of the given name and value. */
    public static Field of(String name, Object value) {
        return new Field(name, value);
    }

    @Override
    public String toString() {
        String text = String.valueOf(value);
        return text.indexOf(' ') < 0 ? name + "=" + text : name + "=\"" + text.replace('"', '\'') + "\"";
    }
}
