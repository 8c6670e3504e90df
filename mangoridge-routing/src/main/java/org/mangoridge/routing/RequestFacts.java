package org.mangoridge.routing;

import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.CallerClass;

/**
 * The properties of a model request that routing decisions depend on.
 *
 * @param id the request
 * @param caller the caller that sent it
 * @param callerClass the caller's class
 * @param service the requested service
 * @param promptTokens the estimated length of the prompt in tokens
 * @param maxTokens the maximum number of output tokens
 * @param prefixes hashes of the prompt's prefixes, the shortest first
 * @param arrived the arrival time on the monotonic clock
 * @param deadline the caller's deadline on the monotonic clock
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
