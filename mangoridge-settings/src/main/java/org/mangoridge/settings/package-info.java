/** The settings of an entry instance. */
package org.mangoridge.settings;
