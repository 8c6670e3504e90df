package org.mangoridge.engine.plain;

import java.time.Duration;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.http.Headers;

/**
 * A call to a plain service.
 *
 * @param attempt the attempt; an answer that names another attempt is dropped
 * @param address the address of the backend server
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers to forward
 * @param body the body; empty if there is none
 * @param timeout the maximum wait for the complete answer
 */
public record PlainCall(
        AttemptId attempt,
        HostPort address,
        String method,
        String path,
        Headers headers,
        byte[] body,
        Duration timeout) {}
