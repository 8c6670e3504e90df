package org.mangoridge.gateway.net;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param method the method
 * @param uri the request target as received, in origin or absolute form
 * @param headers the headers
 * @param body the body; released when the exchange ends
 * @param arrived when the head had been received, on the monotonic clock
 */
public record InboundRequest(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, Duration arrived) {

    private static final String SCHEME_SEPARATOR = "://";

    /** Returns the path of the request target without the query. */
    public String path() {
        String target = target();
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the request target in origin form: the path and the query. */
    public String target() {
        String path = uri;
        int scheme = path.indexOf(SCHEME_SEPARATOR);
        if (scheme > 0 && !path.startsWith("/")) {
            int slash = path.indexOf('/', scheme + SCHEME_SEPARATOR.length());
            path = slash < 0 ? "/" : path.substring(slash);
        }
        return path;
    }
}
