package org.mangoridge.settings.ini;

/**
 * The place of a heading or key in a file.
 *
 * @param file the file name
 * @param line the line number, starting at 1; 0 stands for the file as a whole
 */
public record Origin(String file, int line) {

    @Override
    public String toString() {
        return file + ":" + line;
    }
}
