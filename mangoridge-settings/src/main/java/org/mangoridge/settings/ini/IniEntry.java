package org.mangoridge.settings.ini;

/**
 * One key of a section.
 *
 * @param key the key
 * @param value the value as written, without white space around it
 * @param origin where it was written
 */
public record IniEntry(String key, String value, Origin origin) {}
