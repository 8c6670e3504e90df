package org.mangoridge.gateway.net;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.mangoridge.core.Checks;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.net.HostPort;

/**
 * A request to a server.
 *
 * @param id the id that the request and its answer bear; empty if the call has none
 * @param address where the server listens
 * @param method the method
 * @param uri the request target as it is sent
 * @param headers the headers, without those that describe the body length
 * @param body the body; the caller keeps its reference
 * @param maxIdle the longest idle time of a pooled connection that may be reused; zero requires a new connection
 * @param connectTimeout the time limit for a new connection
 */
public record UpstreamRequest(
        Optional<RequestId> id,
        HostPort address,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        ByteBuf body,
        Duration maxIdle,
        Duration connectTimeout) {

    public UpstreamRequest {
        Checks.notNull(address, "address");
        Checks.notNull(headers, "headers");
        Checks.notNull(body, "body");
    }

    /** Returns a request without an id and without a body. */
    public static UpstreamRequest withoutBody(
            HostPort address, HttpMethod method, String uri, HttpHeaders headers, Duration connectTimeout) {
        return new UpstreamRequest(
                Optional.empty(),
                address,
                method,
                uri,
                headers,
                Unpooled.EMPTY_BUFFER,
                Duration.ofHours(1),
                connectTimeout);
    }
}
