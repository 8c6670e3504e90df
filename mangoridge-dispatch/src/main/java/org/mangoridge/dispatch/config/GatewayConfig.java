package org.mangoridge.dispatch.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServiceId;

/** An immutable version of the configuration. */
public final class GatewayConfig {

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<ServiceId, ServiceSpec> services = new HashMap<>();
    private final CallerLimits limits;

    private GatewayConfig(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
        this.version = version;
        this.limits = Checks.notNull(limits, "limits");
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.id(), service));
    }

    /** Returns a configuration. */
    public static GatewayConfig of(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
        return new GatewayConfig(version, routes, services, limits);
    }

    /** Returns the version; a newer configuration has a greater one. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the route of the host with the longest path prefix that matches; empty if none matches. */
    public Optional<Route> route(String host, String path) {
        List<Route> candidates = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (candidates == null) {
            return Optional.empty();
        }
        for (Route route : candidates) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns a service by id. */
    public Optional<ServiceSpec> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /** Returns the model service with the smallest id; empty if there is none. */
    public Optional<ServiceId> firstModelService() {
        return services.values().stream()
                .filter(service -> service.engine().isPresent())
                .map(ServiceSpec::id)
                .min(Comparator.naturalOrder());
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }
}
