package org.mangoridge.dispatch.config;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServiceId;

/**
 * A service that a route sends a share of its requests to.
 *
 * @param service the service
 * @param weight its share, relative to the route's other services; not negative
 */
public record WeightedService(ServiceId service, int weight) {

    public WeightedService {
        Checks.notNull(service, "service");
        Checks.argument(weight >= 0, "weight must not be negative: %d", weight);
    }
}
