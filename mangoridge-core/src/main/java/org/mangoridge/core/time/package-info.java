/** Clocks, real and virtual, so that time-dependent code can run on virtual time. */
package org.mangoridge.core.time;
