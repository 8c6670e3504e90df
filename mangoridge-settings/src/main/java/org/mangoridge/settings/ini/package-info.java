/** A parser for INI files that keeps the file and line of each key. */
package org.mangoridge.settings.ini;
