package org.mangoridge.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;
import org.mangoridge.settings.deployment.ServiceKind;

/** The servers of the current configuration, and which of them are available. */
final class ServerTable {

    private static final double MIN_SHARE_NOT_EJECTED = 0.5;

    /** The servers of one service. */
    private record Pools(List<ServerState> prefill, List<ServerState> decode) {}

    private final RandomGenerator random;
    private Map<ServerId, ServerState> states = new LinkedHashMap<>();
    private final Map<ServiceId, Pools> pools = new HashMap<>();

    ServerTable(RandomGenerator random) {
        this.random = random;
    }

    /** Applies a configuration; a server whose address changed starts with a new state. */
    void adopt(Deployment deployment) {
        Map<ServerId, ServerState> next = new LinkedHashMap<>();
        pools.clear();
        for (Server server : deployment.servers()) {
            Service service = deployment.service(server.service()).orElseThrow();
            if (service.kind() == ServiceKind.MODEL) {
                ServerState state = stateFor(server, service);
                next.put(server.id(), state);
                Pools servicePools =
                        pools.computeIfAbsent(service.id(), id -> new Pools(new ArrayList<>(), new ArrayList<>()));
                if (server.role().prefills()) {
                    servicePools.prefill().add(state);
                }
                if (server.role().decodes()) {
                    servicePools.decode().add(state);
                }
            }
        }
        states = next;
    }

    Optional<ServerState> find(ServerId id) {
        return Optional.ofNullable(states.get(id));
    }

    Collection<ServerState> all() {
        return states.values();
    }

    /** Returns the available prefill servers of a service. */
    List<ServerState> availablePrefill(ServiceId service, long nowNanos) {
        Pools servicePools = pools.get(service);
        return servicePools == null ? List.of() : available(servicePools.prefill(), nowNanos);
    }

    /** Returns the available decode servers of a service. */
    List<ServerState> availableDecode(ServiceId service, long nowNanos) {
        Pools servicePools = pools.get(service);
        return servicePools == null ? List.of() : available(servicePools.decode(), nowNanos);
    }

    /** Returns whether a service has a server that has not reported its load yet. */
    boolean hasUnreportedServer(ServiceId service) {
        Pools servicePools = pools.get(service);
        return servicePools != null
                && (servicePools.prefill().stream()
                                .anyMatch(state -> state.estimate().lastReport() == null)
                        || servicePools.decode().stream()
                                .anyMatch(state -> state.estimate().lastReport() == null));
    }

    /** Filters out silent servers, and ejected ones unless too few servers would be left. */
    private static List<ServerState> available(List<ServerState> pool, long nowNanos) {
        List<ServerState> serving = new ArrayList<>(pool.size());
        int ejected = 0;
        for (ServerState state : pool) {
            if (state.isServing() && !state.health().isSilent(nowNanos)) {
                serving.add(state);
                ejected += state.health().isEjected(nowNanos) ? 1 : 0;
            }
        }
        boolean enough = serving.size() - ejected >= serving.size() * MIN_SHARE_NOT_EJECTED;
        if (ejected > 0 && enough) {
            serving.removeIf(state -> state.health().isEjected(nowNanos));
        }
        return serving;
    }

    private ServerState stateFor(Server server, Service service) {
        ServerState known = states.get(server.id());
        if (known == null || !known.server().address().equals(server.address())) {
            return new ServerState(server, service, random);
        }
        known.configure(server, service);
        return known;
    }
}
