package org.mangoridge.orders.plan;

import org.mangoridge.core.id.FencingToken;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.ServerRole;

/** An order to one engine. */
public sealed interface EngineOrder {

    /** Returns the order's id, the same when it is repeated. */
    String id();

    /** Returns the engine's server. */
    ServerId server();

    /** Returns the fencing number of the sender's tenure. */
    FencingToken fencing();

    /**
     * Load a version of a model.
     *
     * @param id the order's id
     * @param server the engine's server
     * @param fencing the fencing number of the sender's tenure
     * @param model the model
     * @param version the version
     */
    record LoadModel(String id, ServerId server, FencingToken fencing, String model, String version)
            implements EngineOrder {}

    /**
     * Take a role.
     *
     * @param id the order's id
     * @param server the engine's server
     * @param fencing the fencing number of the sender's tenure
     * @param role the role
     */
    record ChangeRole(String id, ServerId server, FencingToken fencing, ServerRole role) implements EngineOrder {}
}
