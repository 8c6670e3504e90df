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
 * What the attempts at one request share.
 *
 * @param engines gives engines by address
 * @param cancels releases what attempts hold
 * @param ledger records what attempts use
 * @param key whose request it is
 * @param owner the run of the instance that answers the request
 * @param deployment the configuration that the request sees
 * @param service the service asked for
 * @param request the request
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

    /** Returns the engine of a server that a placement names. */
    ModelEngine engine(ServerId id) {
        return engines.engineAt(server(id).address());
    }

    /** Returns a server that a placement names. */
    Server server(ServerId id) {
        return deployment
                .server(id)
                .orElseThrow(() -> new IllegalStateException("placement names a server of another generation: " + id));
    }
}
