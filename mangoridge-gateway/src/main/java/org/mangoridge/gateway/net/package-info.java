/** HTTP connections from callers (the front) and to backend servers (upstream), all on one event loop. */
package org.mangoridge.gateway.net;
