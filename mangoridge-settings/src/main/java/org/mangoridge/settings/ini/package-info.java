/** INI files read with the file and line of every key. */
package org.mangoridge.settings.ini;
