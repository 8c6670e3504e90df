package org.mangoridge.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.RequestId;

/**
 * What a caller says of its request beside method, path and body.
 *
 * @param id the id that the caller gave
 * @param patience how long the caller waits, counted from the arrival of the request; empty if it does not say
 * @param tokens the tokens that it needs; {@link TokenDemand#NONE} if it is not a model request
 * @param resumeAfter the last event that the caller has of a stream that it resumes
 */
public record CallerRequest(RequestId id, Optional<Duration> patience, TokenDemand tokens, OptionalLong resumeAfter) {

    public CallerRequest {
        Checks.notNull(id, "id");
        Checks.notNull(patience, "patience");
        Checks.notNull(tokens, "tokens");
        Checks.notNull(resumeAfter, "resumeAfter");
    }
}
