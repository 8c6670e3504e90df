package org.mangoridge.dispatch.config;

import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServiceId;

/**
 * A service that requests are routed to.
 *
 * @param id its id
 * @param healthPath the path of the health check
 * @param maxConnections connections that one server accepts from all its clients together
 * @param engine present if the servers are model engines
 */
public record ServiceSpec(ServiceId id, String healthPath, int maxConnections, Optional<EngineSpec> engine) {

    public ServiceSpec {
        Checks.notNull(id, "id");
        Checks.notBlank(healthPath, "healthPath");
        Checks.argument(maxConnections > 0, "maxConnections must be positive: %d", maxConnections);
        Checks.notNull(engine, "engine");
    }
}
