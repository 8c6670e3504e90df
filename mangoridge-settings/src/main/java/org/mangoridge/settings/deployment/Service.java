package org.mangoridge.settings.deployment;

import java.time.Duration;
import java.util.Set;

import org.mangoridge.core.id.ModelId;
import org.mangoridge.core.id.ServiceId;

/**
 * A service that callers ask for.
 *
 * @param id its name
 * @param kind what it consists of
 * @param model the model that a model service serves, or null for a plain one
 * @param version the version of the model, empty for a plain service
 * @param timeout the longest a call may take
 * @param idempotentMethods the HTTP methods that may be repeated
 */
public record Service(
        ServiceId id,
        ServiceKind kind,
        ModelId model,
        String version,
        Duration timeout,
        Set<String> idempotentMethods) {

    public Service {
        idempotentMethods = Set.copyOf(idempotentMethods);
    }
}
