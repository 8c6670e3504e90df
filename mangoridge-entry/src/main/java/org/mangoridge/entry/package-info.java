/** The daemon: wires decisions to the web server, timers, engines and the platform. */
package org.mangoridge.entry;
