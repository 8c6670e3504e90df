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

/** The servers of the configuration in force, and which of them may get work. */
final class ServerTable {

    private static final double LEAST_SHARE_IN_USE = 0.5;

    /** The servers of one service. */
    private record Pools(List<ServerState> prefill, List<ServerState> decode) {}

    private final RandomGenerator random;
    private Map<ServerId, ServerState> states = new LinkedHashMap<>();
    private final Map<ServiceId, Pools> pools = new HashMap<>();

    ServerTable(RandomGenerator random) {
        this.random = random;
    }

    /** Takes a configuration over; a server that moved to another address is a new one. */
    void adopt(Deployment deployment) {
        Map<ServerId, ServerState> next = new LinkedHashMap<>();
        pools.clear();
        for (Server server : deployment.servers()) {
            Service service = deployment.service(server.service()).orElseThrow();
            if (service.kind() == ServiceKind.MODEL) {
                ServerState state = stateFor(server, service);
                next.put(server.id(), state);
                Pools of = pools.computeIfAbsent(service.id(), id -> new Pools(new ArrayList<>(), new ArrayList<>()));
                if (server.role().prefills()) {
                    of.prefill().add(state);
                }
                if (server.role().decodes()) {
                    of.decode().add(state);
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

    /** Returns the servers that may prefill for a service now. */
    List<ServerState> availablePrefill(ServiceId service, long nowNanos) {
        Pools of = pools.get(service);
        return of == null ? List.of() : available(of.prefill(), nowNanos);
    }

    /** Returns the servers that may decode for a service now. */
    List<ServerState> availableDecode(ServiceId service, long nowNanos) {
        Pools of = pools.get(service);
        return of == null ? List.of() : available(of.decode(), nowNanos);
    }

    /** Tells whether a service has a server that has not reported yet. */
    boolean hasUnreportedServer(ServiceId service) {
        Pools of = pools.get(service);
        return of != null
                && (of.prefill().stream().anyMatch(state -> state.estimate().lastReport() == null)
                        || of.decode().stream()
                                .anyMatch(state -> state.estimate().lastReport() == null));
    }

    /** Leaves out silent servers, and ejected ones as long as enough others are in use. */
    private static List<ServerState> available(List<ServerState> pool, long nowNanos) {
        List<ServerState> speaking = new ArrayList<>(pool.size());
        int ejected = 0;
        for (ServerState state : pool) {
            if (state.isServing() && !state.health().isSilent(nowNanos)) {
                speaking.add(state);
                ejected += state.health().isEjected(nowNanos) ? 1 : 0;
            }
        }
        boolean enough = speaking.size() - ejected >= speaking.size() * LEAST_SHARE_IN_USE;
        if (ejected > 0 && enough) {
            speaking.removeIf(state -> state.health().isEjected(nowNanos));
        }
        return speaking;
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
