/** Binds leases and orders to the platform, the engines and timers. */
package org.mangoridge.entry.orders;
