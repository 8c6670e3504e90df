package org.mangoridge.routing;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.CallerClass;

/**
 * What decisions know about a model request.
 *
 * @param id the request
 * @param caller who sent it
 * @param callerClass the caller's class
 * @param service the service asked for
 * @param promptTokens the prompt's length, estimated
 * @param maxTokens the most tokens that may be generated
 * @param prefixes hashes of the prompt's prefixes, the shortest first
 * @param arrived when it arrived, on the monotonic clock
 * @param deadline when the caller gives up, on the monotonic clock
 */
public record RequestFacts(
        RequestId id,
        Caller caller,
        CallerClass callerClass,
        ServiceId service,
        int promptTokens,
        int maxTokens,
        List<Long> prefixes,
        Duration arrived,
        Duration deadline) {

    public RequestFacts {
        Checks.notNull(id, "id");
        Checks.argument(promptTokens >= 0, "promptTokens must not be negative: %d", promptTokens);
        Checks.argument(maxTokens >= 1, "maxTokens must be at least 1: %d", maxTokens);
        prefixes = List.copyOf(prefixes);
    }
}
