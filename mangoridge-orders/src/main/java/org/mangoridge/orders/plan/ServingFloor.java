package org.mangoridge.orders.plan;

import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.ServerRole;
import org.mangoridge.settings.deployment.Service;

/** Enforces the minimum number of serving prefill and decode engines during one tick of an {@link OrderMachine}. */
final class ServingFloor {

    private final Service service;
    private final List<Server> servers;
    private final Function<ServerId, TrackedEngine> engines;

    ServingFloor(Service service, List<Server> servers, Function<ServerId, TrackedEngine> engines) {
        this.service = service;
        this.servers = servers;
        this.engines = engines;
    }

    /** Tells whether the engine may stop serving to carry out an order. */
    boolean allows(Server server) {
        if (!isServing(server)) {
            return true;
        }
        ServerRole role = engines.apply(server.id()).facts().role();
        boolean hasSparePrefill = !role.prefills() || servingCount(ServerRole::prefills) > floor(ServerRole::prefills);
        boolean hasSpareDecode = !role.decodes() || servingCount(ServerRole::decodes) > floor(ServerRole::decodes);
        return hasSparePrefill && hasSpareDecode;
    }

    /** Returns the minimum for a kind of role, which is at most the number of servers configured with it. */
    private long floor(Predicate<ServerRole> kind) {
        long configured =
                servers.stream().filter(server -> kind.test(server.role())).count();
        return Math.min(service.servingFloor(), configured);
    }

    private long servingCount(Predicate<ServerRole> kind) {
        return servers.stream()
                .filter(this::isServing)
                .map(server -> engines.apply(server.id()).facts().role())
                .filter(kind)
                .count();
    }

    private boolean isServing(Server server) {
        TrackedEngine engine = engines.apply(server.id());
        EngineFacts facts = engine.facts();
        return engine.pendingOrder() == null
                && facts != null
                && !facts.busy()
                && facts.model().equals(service.model().value())
                && service.acceptsVersion(facts.version());
    }
}
