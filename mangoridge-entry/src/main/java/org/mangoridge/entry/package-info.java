/** The instance daemon: connects the routing and configuration logic to the web server, timers, engines and platform. */
package org.mangoridge.entry;
