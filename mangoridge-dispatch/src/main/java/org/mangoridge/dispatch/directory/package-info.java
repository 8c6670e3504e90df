/** The known servers, from the platform's store and from the observations of this instance. */
package org.mangoridge.dispatch.directory;
