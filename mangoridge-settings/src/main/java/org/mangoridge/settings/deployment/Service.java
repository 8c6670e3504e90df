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
 * @param idempotentMethods the calls that may be repeated, as {@code METHOD} or {@code METHOD /PATH-PREFIX}
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
    public boolean acceptsVersion(String loaded) {
        return loaded.equals(version) || (!previousVersion.isEmpty() && loaded.equals(previousVersion));
    }

    /** Tells whether a call of {@code method} at {@code path} may be repeated. */
    public boolean isIdempotent(String method, String path) {
        return idempotentMethods.stream().anyMatch(entry -> {
            String[] words = entry.split("\\s+", 2);
            return words[0].equals(method)
                    && (words.length == 1 || path.equals(words[1]) || path.startsWith(words[1] + "/"));
        });
    }
}
