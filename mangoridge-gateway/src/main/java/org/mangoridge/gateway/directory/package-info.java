/** Which servers there are, as the platform's store tells and as this instance learns. */
package org.mangoridge.gateway.directory;
