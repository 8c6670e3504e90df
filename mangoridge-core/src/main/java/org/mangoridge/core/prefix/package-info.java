/** Hashes of prompt prefixes, shared by engines and routing. */
package org.mangoridge.core.prefix;
