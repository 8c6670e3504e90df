package org.mangoridge.orders.plan;

import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * The limits on orders.
 *
 * @param maxOrderDuration the maximum time from sending an order until it is carried out, transmission included
 * @param readInterval how often an engine's state is read
 * @param retryDelay how long an engine gets no order after it refused one
 * @param maxConcurrentLoads how many engines may load a model from the weight store at the same time
 */
public record OrderRules(
        Duration maxOrderDuration, Duration readInterval, Duration retryDelay, int maxConcurrentLoads) {

    public OrderRules {
        Checks.argument(maxConcurrentLoads >= 1, "maxConcurrentLoads must be at least 1: %d", maxConcurrentLoads);
    }

    /** Returns rules for orders of at most 60 s and two concurrent loads. */
    public static OrderRules standard() {
        return new OrderRules(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(30), 2);
    }
}
