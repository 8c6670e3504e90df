/** Connections: callers on one side, servers on the other, all on one event loop. */
package org.mangoridge.gateway.net;
