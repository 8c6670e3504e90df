package org.mangoridge.settings.ini;

/**
 * Where a value was written.
 *
 * @param file the file's name
 * @param line the line, from 1
 */
public record Origin(String file, int line) {

    @Override
    public String toString() {
        return file + ":" + line;
    }
}
