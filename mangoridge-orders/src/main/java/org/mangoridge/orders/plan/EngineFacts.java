package org.mangoridge.orders.plan;

import org.mangoridge.settings.deployment.ServerRole;

/**
 * The state that an engine reports.
 *
 * @param role the role of the engine
 * @param model the loaded model, empty if none is loaded
 * @param version the version of the loaded model, empty if none is loaded
 * @param lastFencing the greatest fencing token that the engine has seen, 0 if it ignores fencing tokens
 * @param busy whether the engine is carrying out an order
 */
public record EngineFacts(ServerRole role, String model, String version, long lastFencing, boolean busy) {}
