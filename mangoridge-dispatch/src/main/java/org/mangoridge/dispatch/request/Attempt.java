package org.mangoridge.dispatch.request;

import java.time.Duration;
import java.util.OptionalLong;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.workspace.CallerAccess;

/**
 * One attempt to serve a request at one server.
 *
 * @param request the caller's request
 * @param access on whose behalf the request is served
 * @param server the intended server; any other server that has taken over its address rejects the request
 * @param remainingTime the time until the request's deadline
 * @param work the part of the request that the server executes
 * @param resumeAfter the id of the last event that the caller received; empty if the stream starts from the beginning
 */
public record Attempt(
        CallerRequest request,
        CallerAccess access,
        ServerId server,
        Duration remainingTime,
        AttemptWork work,
        OptionalLong resumeAfter) {

    public Attempt {
        Checks.notNull(request, "request");
        Checks.notNull(access, "access");
        Checks.notNull(server, "server");
        Checks.notNull(remainingTime, "remainingTime");
        Checks.notNull(work, "work");
        Checks.notNull(resumeAfter, "resumeAfter");
    }
}
