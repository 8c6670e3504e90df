package org.mangoridge.settings.ini;

import java.util.List;

/**
 * One section of a file, headed {@code [KIND]} or {@code [KIND NAME]}.
 *
 * @param kind the first word of the heading
 * @param name the rest of the heading, empty if there is none
 * @param origin where the heading was written
 * @param entries the keys in the order of the file
 */
public record IniSection(String kind, String name, Origin origin, List<IniEntry> entries) {

    public IniSection {
        entries = List.copyOf(entries);
    }

    /** Returns the heading without brackets. */
    public String heading() {
        return name.isEmpty() ? kind : kind + " " + name;
    }
}
