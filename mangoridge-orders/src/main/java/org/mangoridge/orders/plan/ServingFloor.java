package org.mangoridge.orders.plan;

import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.ServerRole;
import org.mangoridge.settings.deployment.Service;

/** Keeps enough engines of each kind serving while others change; lives for one round of orders. */
final class ServingFloor {

    private final Service service;
    private final List<Server> servers;
    private final Function<ServerId, TrackedEngine> engines;

    ServingFloor(Service service, List<Server> servers, Function<ServerId, TrackedEngine> engines) {
        this.service = service;
        this.servers = servers;
        this.engines = engines;
    }

    /** Tells whether the engine may stop serving for an order. */
    boolean allows(Server server) {
        if (!serves(server)) {
            return true;
        }
        ServerRole role = engines.apply(server.id()).facts().role();
        boolean enoughPrefill = !role.prefills() || count(ServerRole::prefills) > floor(ServerRole::prefills);
        boolean enoughDecode = !role.decodes() || count(ServerRole::decodes) > floor(ServerRole::decodes);
        return enoughPrefill && enoughDecode;
    }

    /** Returns the floor for a kind, no greater than the number of its servers in the configuration. */
    private long floor(Predicate<ServerRole> kind) {
        long wanted =
                servers.stream().filter(server -> kind.test(server.role())).count();
        return Math.min(service.servingFloor(), wanted);
    }

    private long count(Predicate<ServerRole> kind) {
        return servers.stream()
                .filter(this::serves)
                .map(server -> engines.apply(server.id()).facts().role())
                .filter(kind)
                .count();
    }

    private boolean serves(Server server) {
        TrackedEngine engine = engines.apply(server.id());
        EngineFacts facts = engine.facts();
        return engine.pending() == null
                && facts != null
                && !facts.busy()
                && facts.model().equals(service.model().value())
                && service.accepts(facts.version());
    }
}
