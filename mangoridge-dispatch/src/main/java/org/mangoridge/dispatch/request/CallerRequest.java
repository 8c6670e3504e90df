package org.mangoridge.dispatch.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.dispatch.workspace.ApiKey;

/**
 * The metadata that a caller sends with its request, besides method, path and body.
 *
 * @param id the id that the caller assigned to the request
 * @param timeout how long the caller waits, counted from the arrival of the request; empty if not specified
 * @param tokens the token counts of the request; {@link TokenDemand#NONE} if it is not a model request
 * @param sharedParts the parts of the prompt that other requests may contain too, in order; empty if not specified
 * @param key the key that the caller shows; empty if it shows none, or none that can be read
 * @param resumeAfter the id of the last event that the caller received of a stream that it resumes; empty otherwise
 */
public record CallerRequest(
        RequestId id,
        Optional<Duration> timeout,
        TokenDemand tokens,
        List<RequestPart> sharedParts,
        Optional<ApiKey> key,
        OptionalLong resumeAfter) {

    public CallerRequest {
        Checks.notNull(id, "id");
        Checks.notNull(timeout, "timeout");
        Checks.notNull(tokens, "tokens");
        sharedParts = List.copyOf(sharedParts);
        Checks.notNull(key, "key");
        Checks.notNull(resumeAfter, "resumeAfter");
    }
}
