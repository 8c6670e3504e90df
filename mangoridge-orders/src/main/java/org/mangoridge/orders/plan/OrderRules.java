package org.mangoridge.orders.plan;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The limits of giving orders.
 *
 * @param maxOrderDuration the longest that an order may take to be carried out, on its way included
 * @param readInterval how often an engine's state is read
 * @param retryDelay how long an engine is left alone after an order failed
 * @param maxConcurrentLoads how many engines may load from the weight store at once
 */
public record OrderRules(
        Duration maxOrderDuration, Duration readInterval, Duration retryDelay, int maxConcurrentLoads) {

    public OrderRules {
        Checks.argument(maxConcurrentLoads >= 1, "maxConcurrentLoads must be at least 1: %d", maxConcurrentLoads);
    }

    /** Returns rules for orders of at most 60 s and two loads at once. */
    public static OrderRules standard() {
        return new OrderRules(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(30), 2);
    }
}
