package org.mangoridge.gateway.request;

import java.time.Duration;
import java.util.OptionalLong;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServerId;

/**
 * One request sent to one server.
 *
 * @param request what the caller says
 * @param server the server that is meant; another at its address rejects the request
 * @param left how long the caller still waits
 * @param work what the server is to do
 * @param resumeAfter the last event that the caller has, of a stream that goes on
 */
public record Attempt(
        CallerRequest request, ServerId server, Duration left, AttemptWork work, OptionalLong resumeAfter) {

    public Attempt {
        Checks.notNull(request, "request");
        Checks.notNull(server, "server");
        Checks.notNull(left, "left");
        Checks.notNull(work, "work");
        Checks.notNull(resumeAfter, "resumeAfter");
    }
}
