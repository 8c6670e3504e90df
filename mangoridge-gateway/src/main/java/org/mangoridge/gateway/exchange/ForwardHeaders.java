package org.mangoridge.gateway.exchange;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Copies the headers of a forwarded message, without hop-by-hop headers. */
final class ForwardHeaders {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private ForwardHeaders() {}

    /** Returns the headers of a caller's request to forward to a server. */
    static HttpHeaders ofRequest(HttpHeaders headers, WireDialect dialect) {
        HttpHeaders copy = copy(headers, dialect);
        dialect.removeReservedHeaders(copy);
        return copy;
    }

    /** Returns the headers of a server's response to forward to the caller. */
    static HttpHeaders ofResponse(HttpHeaders headers, WireDialect dialect) {
        return copy(headers, dialect);
    }

    private static HttpHeaders copy(HttpHeaders headers, WireDialect dialect) {
        HttpHeaders copy = new DefaultHttpHeaders(false);
        List<String> connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(value -> java.util.Arrays.stream(value.split(",")))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .toList();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean hopByHop =
                    HOP_BY_HOP.contains(name) || connectionOptions.contains(name) && !dialect.isEndToEnd(name);
            if (!hopByHop) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
