package org.mangoridge.settings.ini;

/**
 * A key of a section and its value.
 *
 * @param key the key
 * @param value the value as written, without leading and trailing white space
 * @param origin the file and line of the key
 */
public record IniEntry(String key, String value, Origin origin) {}
