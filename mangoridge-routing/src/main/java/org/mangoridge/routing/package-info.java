/**
 * Routing decisions as deterministic state machines that take events and the current time and return actions.
 *
 * <p>This package does no I/O and starts no threads; time and random numbers are passed in.
 */
package org.mangoridge.routing;
