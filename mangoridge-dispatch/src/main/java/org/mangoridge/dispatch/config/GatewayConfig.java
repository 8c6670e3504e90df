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
import org.mangoridge.dispatch.workspace.ApiKey;
import org.mangoridge.dispatch.workspace.CallerAccess;
import org.mangoridge.dispatch.workspace.Workspace;

/** An immutable version of the configuration. */
public final class GatewayConfig {

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<ServiceId, ServiceSpec> services = new HashMap<>();
    private final CallerLimits limits;
    private final Optional<List<Workspace>> workspaces;
    private final Map<ApiKey, Workspace> workspacesByKey = new HashMap<>();

    private GatewayConfig(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            CallerLimits limits,
            Optional<List<Workspace>> workspaces) {
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
        this.workspaces = workspaces.map(List::copyOf);
        for (Workspace workspace : workspaces()) {
            for (ApiKey key : workspace.keys()) {
                Workspace other = workspacesByKey.put(key, workspace);
                Checks.argument(other == null, "workspace %s has a key of another one", workspace.id());
            }
        }
    }

    /**
     * Returns a configuration.
     *
     * @param workspaces the workspaces that callers belong to; empty if callers need no key
     */
    public static GatewayConfig of(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            CallerLimits limits,
            Optional<List<Workspace>> workspaces) {
        return new GatewayConfig(version, routes, services, limits, workspaces);
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

    /**
     * Returns on whose behalf a request is served; empty if its caller needs a key and shows none that is known.
     *
     * @param key the key that the caller shows; empty if it shows none
     */
    public Optional<CallerAccess> access(Route route, Optional<ApiKey> key) {
        if (workspaces.isEmpty()) {
            return Optional.of(new CallerAccess.Unmanaged());
        }
        Optional<CallerAccess> member = key.map(workspacesByKey::get).map(CallerAccess.Member::new);
        return member.isEmpty() && route.open() ? Optional.of(new CallerAccess.Anonymous()) : member;
    }

    /** Returns the workspaces. */
    public List<Workspace> workspaces() {
        return workspaces.orElse(List.of());
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
