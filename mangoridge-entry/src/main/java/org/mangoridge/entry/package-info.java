/** The instance daemon: connects routing and configuration to the web server, timers, engines and the platform. */
package org.mangoridge.entry;
