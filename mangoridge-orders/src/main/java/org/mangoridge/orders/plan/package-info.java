/**
 * Orders that bring engines to what the configuration says, as a pure state machine.
 *
 * <p>Every order says what the engine should be, not what to change, so that one which arrives twice does no harm, and
 * one which arrives late is repaired by the next reading of the engine's state.
 */
package org.mangoridge.orders.plan;
