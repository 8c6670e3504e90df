package org.mangoridge.settings.ini;

import java.util.List;

/**
 * A section of an INI file, headed {@code [KIND]} or {@code [KIND NAME]}.
 *
 * @param kind the first word of the heading
 * @param name the rest of the heading, empty if there is none
 * @param origin the file and line of the heading
 * @param entries the keys and values in the order of the file
 */
public record IniSection(String kind, String name, Origin origin, List<IniEntry> entries) {

    public IniSection {
        entries = List.copyOf(entries);
    }

    /** Returns the heading without its brackets: the kind, and the name if there is one. */
    public String heading() {
        return name.isEmpty() ? kind : kind + " " + name;
    }
}
