/** Names of prompt prefixes that engines and decisions share. */
package org.mangoridge.core.prefix;
