/**
 * A lease kept in the platform's store, as a pure state machine.
 *
 * <p>The holder counts its time from when it sent a renewal, everyone else from when they first read it, so that the
 * holder gives up first as long as clocks drift by less than the stated bound.
 */
package org.mangoridge.orders.lease;
