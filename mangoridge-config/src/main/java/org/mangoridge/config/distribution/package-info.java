/** How an instance learns of new configurations, from the platform or from peers. */
package org.mangoridge.config.distribution;
