/**
 * Routing decisions as pure state machines: typed events and the time go in, typed actions come out.
 *
 * <p>Nothing here does I/O, starts threads, reads a clock or draws randomness of its own.
 */
package org.mangoridge.routing;
