/** The request path of an entry instance on small machines: one event loop that serves callers and calls servers. */
package org.mangoridge.gateway;
