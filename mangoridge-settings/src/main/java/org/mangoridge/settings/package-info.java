/** The settings file of an entry instance. */
package org.mangoridge.settings;
