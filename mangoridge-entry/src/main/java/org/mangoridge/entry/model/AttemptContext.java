package org.mangoridge.entry.model;

import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.ModelEngine;
import org.mangoridge.entry.accounts.AccountLedger;
import org.mangoridge.entry.openai.ModelRequest;
import org.mangoridge.routing.accounting.UsageKey;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;

/**
 * The state that all attempts of one request share.
 *
 * @param engines the engines by address
 * @param cancels sends cancels, which release the resources of attempts
 * @param ledger records the resources that attempts use
 * @param key the caller, class and service that the usage is accounted to
 * @param owner the instance that handles the request, and its incarnation
 * @param deployment the configuration that was in force when the request arrived
 * @param service the requested service
 * @param request the parsed request
 */
record AttemptContext(
        EngineDirectory engines,
        CancelSender cancels,
        AccountLedger ledger,
        UsageKey key,
        Owner owner,
        Deployment deployment,
        Service service,
        ModelRequest request) {

    /** Returns the engine of a server that is part of a placement. */
    ModelEngine engine(ServerId id) {
        return engines.engineAt(server(id).address());
    }

    /** Returns the configuration of a server that is part of a placement. */
    Server server(ServerId id) {
        return deployment
                .server(id)
                .orElseThrow(() -> new IllegalStateException(
                        "placement contains a server that is not in the configuration of the request: " + id));
    }
}
