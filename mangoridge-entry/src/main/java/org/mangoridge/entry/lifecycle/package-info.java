/** Graceful shutdown of an instance, which lets the requests in progress finish. */
package org.mangoridge.entry.lifecycle;
