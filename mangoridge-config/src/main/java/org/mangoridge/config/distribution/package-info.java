/** Distribution of new configurations to the instances, from the platform or from peers. */
package org.mangoridge.config.distribution;
