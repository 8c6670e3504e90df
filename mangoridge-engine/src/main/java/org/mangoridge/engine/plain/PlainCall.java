package org.mangoridge.engine.plain;

import java.time.Duration;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.http.Headers;

/**
 * A call of a plain service.
 *
 * @param attempt the attempt, which the answer must name
 * @param address the backend server
 * @param method the HTTP method
 * @param path the path with the query
 * @param headers the headers to pass on
 * @param body the body, empty for none
 * @param timeout the longest wait for the whole answer
 */
public record PlainCall(
        AttemptId attempt,
        HostPort address,
        String method,
        String path,
        Headers headers,
        byte[] body,
        Duration timeout) {}
