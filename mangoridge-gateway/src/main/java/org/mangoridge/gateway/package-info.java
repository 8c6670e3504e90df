/** Request path of an entry instance for small machines: one event loop serves callers and calls backend servers. */
package org.mangoridge.gateway;
