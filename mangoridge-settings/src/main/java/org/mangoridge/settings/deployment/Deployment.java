package org.mangoridge.settings.deployment;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.mangoridge.core.id.CallerClassId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;

/** A validated configuration; immutable, so that a request sees the same configuration from start to end. */
public final class Deployment {

    private static final Deployment EMPTY = new Deployment(List.of(), List.of(), List.of(), List.of());

    private final Map<ServiceId, Service> services;
    private final Map<CallerClassId, CallerClass> classes;
    private final Map<CallerId, Caller> callers;
    private final Map<ServerId, Server> servers;

    private Deployment(
            Collection<Service> services,
            Collection<CallerClass> classes,
            Collection<Caller> callers,
            Collection<Server> servers) {
        this.services = index(services, Service::id);
        this.classes = index(classes, CallerClass::id);
        this.callers = index(callers, Caller::id);
        this.servers = index(servers, Server::id);
    }

    /** Returns a deployment of the given parts, whose references to each other the caller has validated. */
    public static Deployment of(
            Collection<Service> services,
            Collection<CallerClass> classes,
            Collection<Caller> callers,
            Collection<Server> servers) {
        return new Deployment(services, classes, callers, servers);
    }

    /** Returns a deployment without services, classes, callers and servers. */
    public static Deployment empty() {
        return EMPTY;
    }

    /** Returns all services in the order of the files. */
    public Collection<Service> services() {
        return services.values();
    }

    /** Returns all caller classes in the order of the files. */
    public Collection<CallerClass> classes() {
        return classes.values();
    }

    /** Returns all callers in the order of the files. */
    public Collection<Caller> callers() {
        return callers.values();
    }

    /** Returns all backend servers in the order of the files. */
    public Collection<Server> servers() {
        return servers.values();
    }

    /** Returns the service named {@code id}, if there is one. */
    public Optional<Service> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /** Returns the class named {@code id}, if there is one. */
    public Optional<CallerClass> callerClass(CallerClassId id) {
        return Optional.ofNullable(classes.get(id));
    }

    /** Returns the caller named {@code id}, if there is one. */
    public Optional<Caller> caller(CallerId id) {
        return Optional.ofNullable(callers.get(id));
    }

    /** Returns the server named {@code id}, if there is one. */
    public Optional<Server> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns the servers of {@code service} in the order of the files. */
    public List<Server> serversOf(ServiceId service) {
        return servers.values().stream()
                .filter(server -> server.service().equals(service))
                .toList();
    }

    private static <K, V> Map<K, V> index(Collection<V> values, Function<V, K> key) {
        Map<K, V> index = new LinkedHashMap<>();
        values.forEach(value -> index.put(key.apply(value), value));
        return Collections.unmodifiableMap(index);
    }
}
