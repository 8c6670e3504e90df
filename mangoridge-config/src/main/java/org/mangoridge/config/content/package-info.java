/** Splitting of large values into pieces that are identified by their hashes. */
package org.mangoridge.config.content;
