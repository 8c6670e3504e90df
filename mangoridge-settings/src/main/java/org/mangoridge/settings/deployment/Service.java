package org.mangoridge.settings.deployment;

import java.time.Duration;
import java.util.Set;

import org.mangoridge.core.id.ModelId;
import org.mangoridge.core.id.ServiceId;

/**
 * A service that callers can request.
 *
 * @param id the name of the service
 * @param kind the kind of its backend servers
 * @param model the model that a model service serves, or null for a plain service
 * @param version the version of the model, empty for a plain service
 * @param previousVersion a version that is still accepted while engines load the new one, empty if there is none
 * @param servingFloor the minimum number of engines of each kind in a zone that keep serving while others change model
 *     or role
 * @param timeout the time limit of a call
 * @param idempotentMethods the calls that are safe to retry, as {@code METHOD} or {@code METHOD /PATH-PREFIX}
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

    /** Returns whether requests may go to a server that has loaded the model version {@code loadedVersion}. */
    public boolean acceptsVersion(String loadedVersion) {
        return loadedVersion.equals(version) || (!previousVersion.isEmpty() && loadedVersion.equals(previousVersion));
    }

    /** Returns whether a call of {@code method} at {@code path} is safe to retry. */
    public boolean isIdempotent(String method, String path) {
        return idempotentMethods.stream().anyMatch(entry -> {
            String[] methodAndPath = entry.split("\\s+", 2);
            return methodAndPath[0].equals(method)
                    && (methodAndPath.length == 1
                            || path.equals(methodAndPath[1])
                            || path.startsWith(methodAndPath[1] + "/"));
        });
    }
}
