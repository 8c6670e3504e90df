/**
 * Orders that bring engines to their configured state, as a pure state machine.
 *
 * <p>An order names the desired state instead of a change, so it is idempotent: an order that arrives twice has no
 * further effect, and the effect of one that arrives late is corrected after the next read of the engine's state.
 */
package org.mangoridge.orders.plan;
