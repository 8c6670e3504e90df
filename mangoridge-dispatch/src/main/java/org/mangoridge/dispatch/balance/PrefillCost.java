package org.mangoridge.dispatch.balance;

/**
 * The terms of the cost of a prefill at a prefill server, each in milliseconds; the cost is their sum.
 *
 * @param firstToken the expected time until the first token
 * @param errors the penalty for failed answers
 */
public record PrefillCost(double firstToken, double errors) {

    /** Returns the cost. */
    public double value() {
        return firstToken + errors;
    }
}
