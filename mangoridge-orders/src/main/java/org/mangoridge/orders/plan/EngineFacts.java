package org.mangoridge.orders.plan;

import org.mangoridge.settings.deployment.ServerRole;

/**
 * What an engine says of itself.
 *
 * @param role its role
 * @param model the model loaded, empty if there is none
 * @param version its version, empty if there is none
 * @param lastFencing the greatest fencing number that it has seen, 0 if it ignores them
 * @param busy whether it is carrying out an order
 */
public record EngineFacts(ServerRole role, String model, String version, long lastFencing, boolean busy) {}
