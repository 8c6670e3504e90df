/** Measures how cost grows with the size of the system. */
package org.mangoridge.bench.slope;
