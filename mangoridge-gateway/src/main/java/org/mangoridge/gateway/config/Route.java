package org.mangoridge.gateway.config;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.gateway.request.RetryPolicy;

/**
 * Where the requests of one host and path prefix go, and how they are handled.
 *
 * @param name the operator's name for it
 * @param host the host that requests name, in lower case
 * @param pathPrefix how their paths begin; begins and ends with a slash
 * @param streaming whether answers are event streams
 * @param repeat what may be repeated
 * @param services where requests go, one at least
 * @param timeout the longest time until the final answer of a request, or until the first event of a stream
 * @param latencyTarget the time within which an answer, or a stream's first event, is on time
 * @param gapTarget the longest pause between events of a stream that is on time; zero if there is no target
 * @param maxAttempts the most servers that may run one request
 * @param priority its rank, 0 first
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        boolean streaming,
        RetryPolicy repeat,
        List<WeightedService> services,
        Duration timeout,
        Duration latencyTarget,
        Duration gapTarget,
        int maxAttempts,
        int priority) {

    public Route {
        Checks.notBlank(name, "route name");
        Checks.notBlank(host, "route host");
        Checks.argument(pathPrefix.startsWith("/") && pathPrefix.endsWith("/"), "bad path prefix: %s", pathPrefix);
        Checks.argument(!services.isEmpty(), "route %s has no service", name);
        Checks.argument(maxAttempts >= 1, "route %s allows no attempt", name);
        Checks.argument(timeout.isPositive(), "route %s has no timeout", name);
        services = List.copyOf(services);
    }

    /** Returns the service of a request; the choice follows the weights and is the same at every instance. */
    public ServiceId serviceOf(RequestId request) {
        if (services.size() == 1) {
            return services.get(0).service();
        }
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total == 0) {
            return services.get(0).service();
        }
        int point = Math.floorMod(spread(request.value().hashCode()), total);
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    private static int spread(int hash) {
        int mixed = (hash ^ (hash >>> 16)) * 0x45d9f3b;
        return mixed ^ (mixed >>> 16);
    }
}
