package org.mangoridge.dispatch.balance;

/**
 * The terms of the cost of decoding at a server, each in milliseconds; the cost is their sum.
 *
 * @param batch the penalty for the slots and the KV cache in use
 * @param errors the penalty for failed answers
 * @param slowdown the penalty for a server that is slower than nominal
 * @param distance the penalty for another zone
 */
public record DecodeCost(double batch, double errors, double slowdown, double distance) {

    /** Returns the cost. */
    public double value() {
        return batch + errors + slowdown + distance;
    }
}
