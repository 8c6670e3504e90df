package org.mangoridge.web;

import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.http.Headers;

/**
 * A whole request as it came.
 *
 * @param method the HTTP method
 * @param path the path, with a leading slash and without the query
 * @param query the query parameters, the first value of each
 * @param headers the headers
 * @param body the body, empty for none
 * @param connection the connection on which the request came
 */
public record WebRequest(
        String method,
        String path,
        Map<String, String> query,
        Headers headers,
        byte[] body,
        ClientConnection connection) {

    public WebRequest {
        Checks.notBlank(method, "method");
        Checks.notBlank(path, "path");
    }

    /** Returns the first value of the query parameter {@code name}, if present. */
    public Optional<String> queryValue(String name) {
        return Optional.ofNullable(query.get(name));
    }

    /** Tells whether this is a {@code method} of exactly {@code path}. */
    public boolean is(String expectedMethod, String expectedPath) {
        return method.equals(expectedMethod) && path.equals(expectedPath);
    }
}
