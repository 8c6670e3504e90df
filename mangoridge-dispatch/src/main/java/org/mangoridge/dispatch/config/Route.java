package org.mangoridge.dispatch.config;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.request.RetryPolicy;

/**
 * Where the requests of one host and path prefix go, and how they are handled.
 *
 * @param name the name given by the operator
 * @param host the host that requests name, in lower case
 * @param pathPrefix the prefix of request paths; begins and ends with a slash
 * @param streaming whether answers are event streams
 * @param repeat which requests may be retried
 * @param services the services that requests are distributed to; at least one
 * @param timeout maximum time until the final answer of a request, or until the first event of a stream
 * @param latencyTarget the time within which an answer, or a stream's first event, is on time
 * @param gapTarget the target for the maximum gap between the events of a stream; zero if there is none
 * @param maxAttempts maximum number of servers that may run one request
 * @param priority the priority of its requests; 0 is the highest
 * @param open whether callers need no key, where the others need one
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
        int priority,
        boolean open) {

    public Route {
        Checks.notBlank(name, "route name");
        Checks.notBlank(host, "route host");
        Checks.argument(
                pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "path prefix must begin and end with a slash: %s",
                pathPrefix);
        Checks.argument(!services.isEmpty(), "route %s has no service", name);
        Checks.argument(maxAttempts >= 1, "route %s must allow at least one attempt", name);
        Checks.argument(timeout.isPositive(), "route %s must have a positive timeout", name);
        services = List.copyOf(services);
    }

    /** Returns the service of a request, chosen by weight from a hash of its id, so that all instances choose the same. */
    public ServiceId serviceOf(RequestId request) {
        if (services.size() == 1) {
            return services.get(0).service();
        }
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total == 0) {
            return services.get(0).service();
        }
        int point = Math.floorMod(mixBits(request.value().hashCode()), total);
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    private static int mixBits(int hash) {
        int mixed = (hash ^ (hash >>> 16)) * 0x45d9f3b;
        return mixed ^ (mixed >>> 16);
    }
}
