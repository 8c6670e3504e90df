/** Sums of what was measured, and the bound that capacity sets. */
package org.mangoridge.bench.measure;
