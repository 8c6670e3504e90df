/** Value types for the ids of everything that the system names. */
package org.mangoridge.core.id;
