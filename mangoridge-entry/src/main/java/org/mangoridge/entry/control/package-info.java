/** The one thread that owns control state. */
package org.mangoridge.entry.control;
