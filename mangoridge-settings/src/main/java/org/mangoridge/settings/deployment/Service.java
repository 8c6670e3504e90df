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
 * @param previousVersion a version that still serves while engines change over, empty if there is none
 * @param servingFloor the fewest engines of each kind in a zone that keep serving while others change
 * @param timeout the longest a call may take
 * @param idempotentMethods the HTTP methods that may be repeated
 */
public record Service(
        ServiceId id,
        ServiceKind kind,
        ModelId model,
        String version,
        String previousVersion,
        int servingFloor,
        Duration timeout,
        Set<String> idempotentMethods) {

    public Service {
        idempotentMethods = Set.copyOf(idempotentMethods);
    }

    /** Tells whether requests may go to a server that has loaded {@code loaded}. */
    public boolean accepts(String loaded) {
        return loaded.equals(version) || (!previousVersion.isEmpty() && loaded.equals(previousVersion));
    }
}
