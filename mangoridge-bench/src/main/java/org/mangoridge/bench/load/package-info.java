/** Open-loop load from a seed, and what came of it. */
package org.mangoridge.bench.load;
