/**
 * A lease in the platform's store, as a pure state machine; {@code spec/lease.pml} is its model.
 *
 * <p>The holder measures the lease from the time at which it sent a renewal, other instances from the time at which
 * they first read that renewal. The lease therefore expires first for its holder, as long as the drift between clocks
 * stays within the configured maximum.
 */
package org.mangoridge.orders.lease;
