/** Time as an interface, so that decisions run on virtual time. */
package org.mangoridge.core.time;
