package org.mangoridge.http;

import java.net.URI;
import java.time.Duration;

import org.mangoridge.core.Checks;

/**
 * An outbound HTTP call.
 *
 * @param method the HTTP method
 * @param uri the absolute URI
 * @param headers the headers to send
 * @param body the body; empty if there is none
 * @param timeout the maximum wait for the complete answer, or for the head of a streamed one
 */
public record HttpCall(String method, URI uri, Headers headers, byte[] body, Duration timeout) {

    private static final byte[] NO_BODY = new byte[0];

    public HttpCall {
        Checks.notBlank(method, "method");
        Checks.notNull(uri, "uri");
        Checks.notNull(headers, "headers");
        Checks.notNull(body, "body");
        Checks.argument(timeout.isPositive(), "timeout must be positive: %s", timeout);
    }

    /** Returns a GET without headers. */
    public static HttpCall get(URI uri, Duration timeout) {
        return new HttpCall("GET", uri, Headers.empty(), NO_BODY, timeout);
    }

    /** Returns a DELETE without headers. */
    public static HttpCall delete(URI uri, Duration timeout) {
        return new HttpCall("DELETE", uri, Headers.empty(), NO_BODY, timeout);
    }

    /** Returns a POST of {@code message} as JSON. */
    public static HttpCall postJson(URI uri, Object message, Duration timeout) {
        return new HttpCall("POST", uri, Headers.of("Content-Type", "application/json"), Json.bytes(message), timeout);
    }

    /** Returns this call with the header {@code name} set to {@code value}. */
    public HttpCall withHeader(String name, String value) {
        return new HttpCall(method, uri, headers.with(name, value), body, timeout);
    }
}
