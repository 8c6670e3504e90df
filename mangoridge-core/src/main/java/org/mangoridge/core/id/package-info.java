/** Value types for identifiers and version numbers. */
package org.mangoridge.core.id;
