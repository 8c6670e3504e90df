/** Calls of plain services. */
package org.mangoridge.entry.plain;
