package org.mangoridge.orders.plan;

import org.mangoridge.core.id.FencingToken;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.ServerRole;

/** An order to one engine. */
public sealed interface EngineOrder {

    /** Returns the order's id, which stays the same when the order is repeated. */
    String id();

    /** Returns the id of the engine's server. */
    ServerId server();

    /** Returns the fencing token of the sender's tenure. */
    FencingToken fencing();

    /**
     * Load a version of a model.
     *
     * @param id the order's id
     * @param server the id of the engine's server
     * @param fencing the fencing token of the sender's tenure
     * @param model the model to load
     * @param version the version to load
     */
    record LoadModel(String id, ServerId server, FencingToken fencing, String model, String version)
            implements EngineOrder {}

    /**
     * Change to a role.
     *
     * @param id the order's id
     * @param server the id of the engine's server
     * @param fencing the fencing token of the sender's tenure
     * @param role the new role
     */
    record ChangeRole(String id, ServerId server, FencingToken fencing, ServerRole role) implements EngineOrder {}
}
